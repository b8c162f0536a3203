package org.ibisstand.routing;

import java.util.HashMap;
import java.util.Map;

/** Start-time fair queueing between teams: who received least for its weight goes first. */
final class TeamShares {
    private static final double DEFAULT_WEIGHT = 1;
    private static final int MAXIMUM_TEAMS = 4096;

    private final Map<String, Double> mFinish = new HashMap<>();
    private Map<String, Double> mWeights = Map.of();
    private double mVirtualTime;

    void setWeights(Map<String, Double> weights) {
        mWeights = Map.copyOf(weights);
    }

    double weight(String team) {
        return mWeights.getOrDefault(team, DEFAULT_WEIGHT);
    }

    /** Returns the virtual time at which a team's next work may start. */
    double start(String team) {
        return Math.max(mVirtualTime, mFinish.getOrDefault(team, 0.0));
    }

    void served(String team, double cost) {
        double start = start(team);
        mVirtualTime = Math.max(mVirtualTime, start);
        mFinish.put(team, start + cost / weight(team));
        if (mFinish.size() > MAXIMUM_TEAMS) {
            mFinish.values().removeIf(finish -> finish <= mVirtualTime);
        }
    }
}
