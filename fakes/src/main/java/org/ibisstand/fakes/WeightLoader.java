package org.ibisstand.fakes;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The loaded weights of a fake engine, and which orders to change them it takes. */
final class WeightLoader {
    private final Map<String, String> mVersions;
    private final boolean mHonoursFencing;
    private Optional<Order> mLatest = Optional.empty();

    WeightLoader(Map<String, String> versions, boolean honoursFencing) {
        mVersions = new TreeMap<>(versions);
        mHonoursFencing = honoursFencing;
    }

    /** Returns whether an order is taken; an equal number counts only for the same order. */
    boolean accept(Order order) {
        boolean old =
                mLatest.filter(latest -> order.fencingNumber() <= latest.fencingNumber())
                        .filter(latest -> !latest.equals(order))
                        .isPresent();
        if (mHonoursFencing && old) {
            return false;
        }
        mLatest = Optional.of(order);
        return true;
    }

    /** Puts the weights of an order in force. */
    void finish(Order order) {
        mVersions.put(order.model(), order.weightsVersion());
    }

    Optional<String> versionOf(String model) {
        return Optional.ofNullable(mVersions.get(model));
    }

    Map<String, String> versions() {
        return Map.copyOf(mVersions);
    }

    /**
     * An order to load weights.
     *
     * @param model the name of the model
     * @param weightsVersion the version of the weights
     * @param fencingNumber grows with each order of a leader
     */
    record Order(String model, String weightsVersion, long fencingNumber) {}
}
