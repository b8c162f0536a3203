package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibisstand.base.AgentIdentifier;

/**
 * Compares how long agents were expected to take with how long they take, and tells how slow each
 * is now. Work in progress that is late counts before it ends.
 *
 * <p>What was observed loses half of its weight with every half-life, so that an agent that was
 * slowed for a moment is soon tried again. May be used by any thread.
 */
public final class SlownessTracker {
    private final Map<AgentIdentifier, AgentHistory> mHistories = new ConcurrentHashMap<>();

    private SlownessTracker() {}

    /** Returns observations of agents of which nothing is known yet. */
    public static SlownessTracker create() {
        return new SlownessTracker();
    }

    /**
     * Notes that an agent began a piece of work; its end is told by {@link #completed} or {@link
     * #cancelled}.
     *
     * @param agent who does it
     * @param expected the predicted time
     * @param now the present
     */
    public TrackedOperation started(AgentIdentifier agent, Duration expected, Instant now) {
        TrackedOperation observation = new TrackedOperation(agent, expected, now);
        history(agent).started(observation);
        return observation;
    }

    /**
     * Notes that a piece of work gave what was expected of it, such as its first token.
     *
     * @param observation the piece of work
     * @param now the present
     */
    public void completed(TrackedOperation observation, Instant now) {
        history(observation.agent()).ended(observation, now);
    }

    /**
     * Notes that a piece of work was cancelled; if it was late by then, it counts as ended.
     *
     * @param observation the piece of work
     * @param now the present
     */
    public void cancelled(TrackedOperation observation, Instant now) {
        history(observation.agent()).abandoned(observation, now);
    }

    /**
     * Returns how many times longer than expected an agent takes now, at least one.
     *
     * @param agent its name
     * @param now the present
     */
    public double slowness(AgentIdentifier agent, Instant now) {
        AgentHistory history = mHistories.get(agent);
        return history == null ? 1 : history.slowness(now);
    }

    /**
     * Forgets an agent that is gone.
     *
     * @param agent its name
     */
    public void forget(AgentIdentifier agent) {
        mHistories.remove(agent);
    }

    private AgentHistory history(AgentIdentifier agent) {
        return mHistories.computeIfAbsent(agent, unused -> new AgentHistory());
    }
}
