package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Confirms with a quorum that this member leads, at most once in a while for many callers; used on
 * the control thread. A quorum read for each caller would cost two messages for each other member.
 */
final class LeadershipCheck {
    private final Log mLog;
    private final Clock mClock;
    private final Duration mValidity;
    private Optional<CompletableFuture<Void>> mPending = Optional.empty();
    private Instant mConfirmedUntil = Instant.MIN;
    private long mConfirmedTerm;

    /**
     * Creates a check that has not confirmed anything.
     *
     * @param log the log that confirms
     * @param clock the time source, which must not jump
     * @param validity how long after its start a confirmation holds; less than an election timeout
     */
    LeadershipCheck(Log log, Clock clock, Duration validity) {
        mLog = log;
        mClock = clock;
        mValidity = validity;
    }

    /**
     * Completes once a quorum has confirmed that this member leads, in a round that began after the
     * call or less than the validity before; fails as {@link Log#confirmRead} does.
     */
    CompletableFuture<Void> confirm() {
        if (isValid()) {
            return CompletableFuture.completedFuture(null);
        }
        if (mPending.isPresent()) {
            return mPending.get().thenCompose(done -> confirm());
        }
        Instant validUntil = mClock.instant().plus(mValidity);
        long term = mLog.status().term();
        CompletableFuture<Void> read = mLog.confirmRead();
        CompletableFuture<Void> finished =
                read.whenComplete((done, failure) -> finish(failure == null, term, validUntil));
        if (!finished.isDone()) {
            mPending = Optional.of(finished);
        }
        return finished;
    }

    private boolean isValid() {
        LogStatus status = mLog.status();
        return status.leads()
                && status.term() == mConfirmedTerm
                && mClock.instant().isBefore(mConfirmedUntil);
    }

    private void finish(boolean isConfirmed, long term, Instant validUntil) {
        mPending = Optional.empty();
        if (isConfirmed) {
            mConfirmedTerm = term;
            mConfirmedUntil = validUntil;
        }
    }
}
