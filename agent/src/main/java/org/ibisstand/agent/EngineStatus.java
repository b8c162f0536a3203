package org.ibisstand.agent;

import java.util.Map;

/**
 * The status of an engine: its weights, load and KV cache.
 *
 * @param weights the loaded weights version of each model
 * @param loading whether a load order is in progress
 * @param sequence the number of load orders that the engine has accepted since its start
 * @param running the number of requests in progress
 * @param waiting the number of queued requests
 * @param usedTokens the KV cache in use by running requests, in tokens
 * @param capacityTokens the size of the KV cache, in tokens
 */
public record EngineStatus(
        Map<String, Long> weights,
        boolean loading,
        long sequence,
        int running,
        int waiting,
        long usedTokens,
        long capacityTokens) {
    /** Copies the map, so that the record is immutable. */
    public EngineStatus {
        weights = Map.copyOf(weights);
    }
}
