package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Knows whether this member is in touch with a majority; used on the control thread. A leader asks
 * the majority, the others rely on their leader, which steps down when it loses the majority.
 */
final class Quorum {
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final Log mLog;
    private final Clock mClock;
    private Instant mNextCheck;
    private boolean mReadConfirmed;
    private boolean mChecking;

    private Quorum(Log log, Clock clock) {
        mLog = log;
        mClock = clock;
        mNextCheck = clock.instant();
    }

    static Quorum create(Log log, Clock clock) {
        return new Quorum(log, clock);
    }

    /** Returns whether what this member has applied is known to be current. */
    boolean confirmed() {
        LogStatus status = mLog.status();
        return status.leads() ? mReadConfirmed : status.leaderAddress().isPresent();
    }

    /** Starts the next check when it is due; a leader that gets no answer is not confirmed. */
    void tick() {
        Instant now = mClock.instant();
        if (mChecking || now.isBefore(mNextCheck) || !mLog.status().leads()) {
            return;
        }
        mNextCheck = now.plus(INTERVAL);
        mChecking = true;
        mLog.confirmRead().whenComplete((done, failure) -> finish(failure == null));
    }

    private void finish(boolean confirmed) {
        mChecking = false;
        mReadConfirmed = confirmed;
    }
}
