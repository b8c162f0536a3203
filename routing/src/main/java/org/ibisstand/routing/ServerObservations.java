package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibisstand.base.AgentIdentifier;

/**
 * Compares what agents predicted with what this entry observed, and tells how slow each is now.
 *
 * <p>An observation loses half of its weight with every half-life, so that an agent that nobody
 * sends to any more is soon tried again. May be used by any thread.
 */
public final class ServerObservations {
    private static final Duration HALF_LIFE = Duration.ofSeconds(1);
    private static final double MAXIMUM_SLOWNESS = 20;
    private static final double NEW_SHARE = 0.3;

    private final Map<AgentIdentifier, Observed> mObserved = new ConcurrentHashMap<>();

    private ServerObservations() {}

    /** Returns observations of agents of which nothing is known yet. */
    public static ServerObservations create() {
        return new ServerObservations();
    }

    /**
     * Notes how long an agent took for one piece of work.
     *
     * @param agent who did it
     * @param expected the predicted time, positive
     * @param observed the time it took
     * @param now when it ended
     */
    public void observed(AgentIdentifier agent, Duration expected, Duration observed, Instant now) {
        double ratio = (double) observed.toNanos() / Math.max(1, expected.toNanos());
        double bounded = Math.clamp(ratio, 1.0, MAXIMUM_SLOWNESS);
        mObserved.merge(
                agent,
                new Observed(bounded, now),
                (before, after) -> {
                    double present = before.at(now);
                    return new Observed(present + NEW_SHARE * (bounded - present), now);
                });
    }

    /**
     * Returns how many times longer than predicted an agent takes now, at least one.
     *
     * @param agent its name
     * @param now the present
     */
    public double slowness(AgentIdentifier agent, Instant now) {
        Observed observed = mObserved.get(agent);
        return observed == null ? 1 : observed.at(now);
    }

    /**
     * Forgets an agent that is gone.
     *
     * @param agent its name
     */
    public void forget(AgentIdentifier agent) {
        mObserved.remove(agent);
    }

    private record Observed(double slowness, Instant since) {
        double at(Instant now) {
            double age = Math.max(0, Duration.between(since, now).toNanos());
            return 1 + (slowness - 1) * Math.pow(0.5, age / HALF_LIFE.toNanos());
        }
    }
}
