package org.ibisstand.agent;

import java.util.Map;

/**
 * What an engine says of its weights.
 *
 * @param weights the version that is loaded of each model
 * @param loading whether an order is in progress
 * @param sequence how many orders the engine has accepted since its start
 */
public record EngineStatus(Map<String, Long> weights, boolean loading, long sequence) {
    /** Copies the map, so that a status never changes. */
    public EngineStatus {
        weights = Map.copyOf(weights);
    }
}
