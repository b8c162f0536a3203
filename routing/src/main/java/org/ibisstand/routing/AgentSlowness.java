package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashSet;
import java.util.Set;

/** Decaying sums of the expected and observed times of one agent's operations at one entry. */
final class AgentSlowness {
    private static final double HALF_LIFE_NANOSECONDS = Duration.ofMillis(900).toNanos();

    // Added to both sums as an operation that took exactly the expected time, so that one short
    // operation has little effect on the ratio.
    private static final double PRIOR_MILLISECONDS = 50;
    private static final double MAXIMUM_SLOWNESS = 20;

    private final Set<TrackedOperation> mInProgress = new LinkedHashSet<>();
    private double mExpectedMilliseconds;
    private double mObservedMilliseconds;
    private Instant mDecayTime = Instant.EPOCH;

    synchronized void started(TrackedOperation operation) {
        mInProgress.add(operation);
    }

    synchronized void completed(TrackedOperation operation, Instant now) {
        if (mInProgress.remove(operation)) {
            decay(now);
            mExpectedMilliseconds += operation.expectedMilliseconds();
            mObservedMilliseconds += operation.elapsedMilliseconds(now);
        }
    }

    synchronized void cancelled(TrackedOperation operation, Instant now) {
        if (operation.isLate(now)) {
            completed(operation, now);
        } else {
            mInProgress.remove(operation);
        }
    }

    synchronized double slowness(Instant now) {
        decay(now);
        double expected = mExpectedMilliseconds + PRIOR_MILLISECONDS;
        double observed = mObservedMilliseconds + PRIOR_MILLISECONDS;
        for (TrackedOperation operation : mInProgress) {
            if (operation.isLate(now)) {
                expected += operation.expectedMilliseconds();
                observed += operation.elapsedMilliseconds(now);
            }
        }
        return Math.clamp(observed / expected, 1, MAXIMUM_SLOWNESS);
    }

    private void decay(Instant now) {
        double age = Duration.between(mDecayTime, now).toNanos();
        if (age > 0) {
            double weight = Math.pow(0.5, age / HALF_LIFE_NANOSECONDS);
            mExpectedMilliseconds *= weight;
            mObservedMilliseconds *= weight;
            mDecayTime = now;
        }
    }
}
