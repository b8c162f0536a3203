package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Set;

/** What one entry observed of one agent lately, as decaying sums of times. */
final class AgentHistory {
    private static final double HALF_LIFE_NANOSECONDS = Duration.ofMillis(900).toNanos();

    // Counted as work done exactly in time, so that single small pieces of work tell little.
    private static final double PRIOR_MILLISECONDS = 50;
    private static final double MAXIMUM_SLOWNESS = 20;

    private final Set<TrackedOperation> mInProgress = new LinkedHashSet<>();
    private double mExpectedMilliseconds;
    private double mObservedMilliseconds;
    private Instant mDecayedAt = Instant.EPOCH;

    synchronized void started(TrackedOperation observation) {
        mInProgress.add(observation);
    }

    synchronized void ended(TrackedOperation observation, Instant now) {
        if (mInProgress.remove(observation)) {
            decay(now);
            mExpectedMilliseconds += observation.expectedMilliseconds();
            mObservedMilliseconds += observation.elapsedMilliseconds(now);
        }
    }

    synchronized void abandoned(TrackedOperation observation, Instant now) {
        if (observation.isLate(now)) {
            ended(observation, now);
        } else {
            mInProgress.remove(observation);
        }
    }

    synchronized double slowness(Instant now) {
        decay(now);
        double expected = mExpectedMilliseconds + PRIOR_MILLISECONDS;
        double observed = mObservedMilliseconds + PRIOR_MILLISECONDS;
        for (TrackedOperation observation : mInProgress) {
            if (observation.isLate(now)) {
                expected += observation.expectedMilliseconds();
                observed += observation.elapsedMilliseconds(now);
            }
        }
        return Math.clamp(observed / expected, 1, MAXIMUM_SLOWNESS);
    }

    private void decay(Instant now) {
        double age = Duration.between(mDecayedAt, now).toNanos();
        if (age > 0) {
            double weight = Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
            mExpectedMilliseconds *= weight;
            mObservedMilliseconds *= weight;
            mDecayedAt = now;
        }
    }
}
