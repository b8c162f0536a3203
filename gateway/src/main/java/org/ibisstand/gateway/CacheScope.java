package org.ibisstand.gateway;

/**
 * What KV cache may be used for a prompt: the same team's, if it is isolated, made under the same
 * weights. It is taken once, when an engine is chosen, and kept with the run that the request
 * starts.
 *
 * @param salt engines find cached prompts only under the same one
 * @param weights the version that the request is meant for; zero if that is not known
 */
record CacheScope(String salt, long weights) {
    private static final long UNKNOWN = 0;

    /** Requests without a prompt. */
    static final CacheScope NONE = new CacheScope("", UNKNOWN);

    /**
     * Returns the scope of a prompt at an engine.
     *
     * @param team separates the cached prompts of isolated teams
     * @param weights the version that the engine is believed to have; zero if that is not known
     * @param nonce differs for each request, which shares nothing while the weights are unknown
     */
    static CacheScope of(String team, long weights, String nonce) {
        String suffix = weights == UNKNOWN ? "unknown-" + nonce : Long.toString(weights);
        return new CacheScope(team + "-" + suffix, weights);
    }

    /** Returns whether other engines may fetch what is made in this scope, or provide it. */
    boolean isShared() {
        return weights != UNKNOWN;
    }
}
