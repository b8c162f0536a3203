package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ibisstand.base.AgentIdentifier;

/**
 * Measures the slowness of agents: the ratio of the observed to the expected time of their recent
 * operations. An operation that is already late counts before it ends.
 *
 * <p>Observations decay exponentially, so that an agent that was slow for a short time soon gets
 * requests again. Thread-safe.
 */
public final class SlownessTracker {
    private final Map<AgentIdentifier, AgentSlowness> mSlownessByAgent = new ConcurrentHashMap<>();

    private SlownessTracker() {}

    /** Creates an instance without observations. */
    public static SlownessTracker create() {
        return new SlownessTracker();
    }

    /**
     * Records that an agent started an operation. The caller must report its end by {@link
     * #completed} or {@link #cancelled}.
     *
     * @param agent the agent that performs the operation
     * @param expected the predicted duration
     * @param now the current time
     */
    public TrackedOperation started(AgentIdentifier agent, Duration expected, Instant now) {
        TrackedOperation operation = new TrackedOperation(agent, expected, now);
        slownessOf(agent).started(operation);
        return operation;
    }

    /**
     * Records that an operation reached the expected event, such as its first token.
     *
     * @param operation the operation, as returned by {@link #started}
     * @param now the current time
     */
    public void completed(TrackedOperation operation, Instant now) {
        slownessOf(operation.agent()).completed(operation, now);
    }

    /**
     * Records that an operation was cancelled. It counts as completed if it was already late, and
     * is ignored otherwise.
     *
     * @param operation the operation, as returned by {@link #started}
     * @param now the current time
     */
    public void cancelled(TrackedOperation operation, Instant now) {
        slownessOf(operation.agent()).cancelled(operation, now);
    }

    /**
     * Returns the ratio of observed to expected time of an agent; at least one.
     *
     * @param agent the name of the agent
     * @param now the current time
     */
    public double slowness(AgentIdentifier agent, Instant now) {
        AgentSlowness agentSlowness = mSlownessByAgent.get(agent);
        return agentSlowness == null ? 1 : agentSlowness.slowness(now);
    }

    /**
     * Removes the observations of an agent that no longer exists.
     *
     * @param agent the name of the agent
     */
    public void forget(AgentIdentifier agent) {
        mSlownessByAgent.remove(agent);
    }

    private AgentSlowness slownessOf(AgentIdentifier agent) {
        return mSlownessByAgent.computeIfAbsent(agent, unused -> new AgentSlowness());
    }
}
