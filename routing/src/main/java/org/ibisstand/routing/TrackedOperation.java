package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.AgentIdentifier;

/** The timing of an operation at an agent. Instances are compared by identity. */
public final class TrackedOperation {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final AgentIdentifier mAgent;
    private final double mExpectedMilliseconds;
    private final Instant mStartTime;

    TrackedOperation(AgentIdentifier agent, Duration expected, Instant started) {
        mAgent = agent;
        mExpectedMilliseconds = expected.toNanos() / NANOSECONDS_PER_MILLISECOND;
        mStartTime = started;
    }

    AgentIdentifier agent() {
        return mAgent;
    }

    double expectedMilliseconds() {
        return mExpectedMilliseconds;
    }

    double elapsedMilliseconds(Instant now) {
        return Duration.between(mStartTime, now).toNanos() / NANOSECONDS_PER_MILLISECOND;
    }

    boolean isLate(Instant now) {
        return elapsedMilliseconds(now) > mExpectedMilliseconds;
    }
}
