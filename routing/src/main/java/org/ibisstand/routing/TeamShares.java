package org.ibisstand.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Start-time fair queueing between teams: the team that received the least service in proportion to
 * its weight goes first.
 */
public final class TeamShares {
    private static final double DEFAULT_WEIGHT = 1;
    private static final int MAXIMUM_TEAMS = 4096;

    private final Map<String, Double> mVirtualFinish = new HashMap<>();
    private Map<String, Double> mWeights = Map.of();
    private double mVirtualTime;

    /** Sets the weights of teams; all others have the weight 1. */
    public void setWeights(Map<String, Double> weights) {
        mWeights = Map.copyOf(weights);
    }

    /** Returns the fair-share weight of a team. */
    public double weight(String team) {
        return mWeights.getOrDefault(team, DEFAULT_WEIGHT);
    }

    /** Returns the virtual start time of the next work of a team. */
    public double virtualStart(String team) {
        return Math.max(mVirtualTime, mVirtualFinish.getOrDefault(team, 0.0));
    }

    /** Counts service that a team received. */
    public void charge(String team, double cost) {
        double start = virtualStart(team);
        mVirtualTime = Math.max(mVirtualTime, start);
        mVirtualFinish.put(team, start + cost / weight(team));
        if (mVirtualFinish.size() > MAXIMUM_TEAMS) {
            mVirtualFinish.values().removeIf(finish -> finish <= mVirtualTime);
        }
    }
}
