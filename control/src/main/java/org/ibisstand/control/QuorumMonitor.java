package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Tracks whether this member is connected to a quorum; used on the control thread. A leader
 * confirms this with a quorum read. Other members rely on their leader, which steps down when it
 * loses its quorum.
 */
final class QuorumMonitor {
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final Log mLog;
    private final Clock mClock;
    private Instant mNextCheck;
    private boolean mReadConfirmed;
    private boolean mCheckPending;

    private QuorumMonitor(Log log, Clock clock) {
        mLog = log;
        mClock = clock;
        mNextCheck = clock.instant();
    }

    static QuorumMonitor create(Log log, Clock clock) {
        return new QuorumMonitor(log, clock);
    }

    /** Returns whether the state that this member has applied is known to be current. */
    boolean isConfirmed() {
        LogStatus status = mLog.status();
        return status.leads() ? mReadConfirmed : status.leaderAddress().isPresent();
    }

    /**
     * Starts the next check if it is due; a leader whose check fails or times out is not confirmed.
     */
    void tick() {
        Instant now = mClock.instant();
        if (mCheckPending || now.isBefore(mNextCheck) || !mLog.status().leads()) {
            return;
        }
        mNextCheck = now.plus(CHECK_INTERVAL);
        mCheckPending = true;
        mLog.confirmRead().whenComplete((done, failure) -> finishCheck(failure == null));
    }

    private void finishCheck(boolean isConfirmed) {
        mCheckPending = false;
        mReadConfirmed = isConfirmed;
    }
}
