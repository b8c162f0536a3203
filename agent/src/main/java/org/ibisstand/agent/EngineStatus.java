package org.ibisstand.agent;

import java.util.Map;

/**
 * What an engine says of its weights.
 *
 * @param weights the version that is loaded of each model
 * @param loading whether an order is in progress
 * @param sequence how many orders the engine has accepted since its start
 * @param running requests that the engine works on
 * @param waiting requests in its queue
 * @param usedTokens memory that running requests hold, in tokens
 * @param capacityTokens all memory for KV cache, in tokens
 */
public record EngineStatus(
        Map<String, Long> weights,
        boolean loading,
        long sequence,
        int running,
        int waiting,
        long usedTokens,
        long capacityTokens) {
    /** Copies the map, so that a status never changes. */
    public EngineStatus {
        weights = Map.copyOf(weights);
    }
}
