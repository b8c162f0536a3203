package org.ibisstand.gateway;

/**
 * The KV cache that may be used for a prompt: computed with the same weights of the same model and,
 * if the team is isolated, for the same team. The scope is fixed when an engine is chosen and stays
 * with the run that the request starts.
 *
 * @param salt the cache salt; engines find cached prompts only under the same salt
 * @param weights the weights version that the request is meant for; zero if unknown
 */
record CacheScope(String salt, long weights) {
    private static final long UNKNOWN_WEIGHTS = 0;

    /** The scope of requests without a prompt. */
    static final CacheScope NONE = new CacheScope("", UNKNOWN_WEIGHTS);

    /**
     * Returns the scope of a prompt at an engine.
     *
     * @param cacheGroup the group of teams that share cached prompts
     * @param model the model of the prompt
     * @param weights the version that the engine is expected to have; zero if unknown
     * @param nonce unique to the request, so that it shares no cache while the weights are unknown
     */
    static CacheScope of(String cacheGroup, String model, long weights, String nonce) {
        String version = weights == UNKNOWN_WEIGHTS ? "unknown-" + nonce : Long.toString(weights);
        // The length keeps names that contain the separator apart.
        String salt = version + "/" + model.length() + "/" + model + "/" + cacheGroup;
        return new CacheScope(salt, weights);
    }

    /** Returns whether KV cache of this scope may be transferred between engines. */
    boolean isShareable() {
        return weights != UNKNOWN_WEIGHTS;
    }
}
