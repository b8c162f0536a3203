package org.ibisstand.agent;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The weights that the engine serves, as far as this agent knows. For the control thread only.
 *
 * <p>From the moment a load order arrives until its end, a model serves no version: a prompt that
 * ran meanwhile could use KV cache of two versions under one salt.
 */
final class LoadedWeights {
    private final Map<String, String> mVersions;
    private final Map<String, Integer> mOpenOrders = new HashMap<>();

    /**
     * Creates the initial state.
     *
     * @param versions the weights version of each model of the engine
     */
    LoadedWeights(Map<String, String> versions) {
        mVersions = new HashMap<>(versions);
    }

    /** Returns whether a prompt for the version may be sent to the engine now. */
    boolean serves(String model, String weightsVersion) {
        return !mOpenOrders.containsKey(model) && weightsVersion.equals(mVersions.get(model));
    }

    /** Returns the version that the engine was last known to have; empty if it may have another. */
    Optional<String> version(String model) {
        return Optional.ofNullable(mVersions.get(model));
    }

    void onOrder(String model) {
        mOpenOrders.merge(model, 1, Integer::sum);
    }

    /**
     * Ends an order.
     *
     * @param weightsVersion the version that the engine has now; empty if that is not known
     */
    void onOrderEnded(String model, Optional<String> weightsVersion) {
        mOpenOrders.computeIfPresent(model, (key, count) -> count > 1 ? count - 1 : null);
        weightsVersion.ifPresentOrElse(
                version -> mVersions.put(model, version), () -> mVersions.remove(model));
    }
}
