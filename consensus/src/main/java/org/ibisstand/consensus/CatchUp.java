package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Tells whether a member follows the log closely. While others go on committing, a member that
 * follows at a constant distance never holds the last committed entry, so the distance is measured
 * in time: a pass ends when the member holds all that the leader's log held as the pass began.
 */
final class CatchUp {
    private long mTargetIndex;
    private Instant mPassStart;
    private Optional<Duration> mLastPass = Optional.empty();

    CatchUp(long lastIndex, Instant now) {
        mTargetIndex = lastIndex;
        mPassStart = now;
    }

    /** Takes an acknowledgement of the member, which may end a pass and begin the next one. */
    void acknowledged(long matchIndex, long lastIndex, Instant now) {
        if (matchIndex >= mTargetIndex) {
            mLastPass = Optional.of(Duration.between(mPassStart, now));
            mTargetIndex = lastIndex;
            mPassStart = now;
        }
    }

    /**
     * Returns whether the member holds everything committed, or follows within a time limit.
     *
     * @param matchIndex the last entry known to be durable at the member
     * @param commitIndex the last committed entry
     * @param limit the longest time that a pass may take
     */
    boolean isDone(long matchIndex, long commitIndex, Duration limit, Instant now) {
        boolean passesQuickly =
                mLastPass.filter(pass -> pass.compareTo(limit) <= 0).isPresent()
                        && Duration.between(mPassStart, now).compareTo(limit) <= 0;
        return matchIndex >= commitIndex || passesQuickly;
    }
}
