package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/**
 * Decides when a request that is late gets a second attempt at another agent.
 *
 * <p>Only idempotent and short requests are hedged, after a multiple of the median of the times
 * observed lately, and inside a budget that is a share of the requests. The median stays what it is
 * while up to half of the agents are slowed, where a late percentile would follow the slowed ones.
 * The caller takes the first answer and cancels the other attempt, which counts as waste. May be
 * used by any thread.
 */
public final class Hedging {
    private static final double STANDARD_SHARE = 0.1;
    private static final double MEDIAN = 0.5;
    private static final double LATE_FACTOR = 1.5;
    private static final double MAXIMUM_SAVED = 10;
    private static final int MINIMUM_COUNT = 50;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final TimeQuantiles mTimes;
    private final RetryBudget mBudget;
    private final LongAdder mSent = new LongAdder();
    private final LongAdder mWon = new LongAdder();

    private Hedging(TimeQuantiles times, RetryBudget budget) {
        mTimes = times;
        mBudget = budget;
    }

    /**
     * Creates hedging with the share that entries use.
     *
     * @param now the present
     */
    public static Hedging standard(Instant now) {
        return create(STANDARD_SHARE, now);
    }

    /**
     * Creates hedging that has observed nothing yet and therefore hedges nothing.
     *
     * @param share second attempts that each request earns, between zero and one
     * @param now the present
     */
    public static Hedging create(double share, Instant now) {
        return new Hedging(
                new TimeQuantiles(WINDOW, MINIMUM_COUNT, now),
                RetryBudget.create(share, 0, MAXIMUM_SAVED, now));
    }

    /**
     * Notes the time to first token or first byte of a request that could have been hedged.
     *
     * @param time the time since it was sent
     * @param now the present
     */
    public void recordLatency(Duration time, Instant now) {
        mTimes.add(time, now);
        mBudget.recordSuccess();
    }

    /**
     * Returns how long after its begin a request is late, or nothing if it is not to be hedged.
     *
     * @param idempotent whether the request may run more than once
     * @param isShort whether it is little work
     * @param now the present
     */
    public Optional<Duration> delay(boolean idempotent, boolean isShort, Instant now) {
        return idempotent && isShort
                ? mTimes.quantile(MEDIAN, now).map(Hedging::late)
                : Optional.empty();
    }

    private static Duration late(Duration median) {
        return Duration.ofNanos((long) (median.toNanos() * LATE_FACTOR));
    }

    /**
     * Takes a second attempt from the budget; called when a request is late.
     *
     * @param now the present
     */
    public boolean tryAcquire(Instant now) {
        boolean isTaken = mBudget.tryAcquire(now);
        if (isTaken) {
            mSent.increment();
        }
        return isTaken;
    }

    /** Notes that a second attempt answered first. */
    public void recordWin() {
        mWon.increment();
    }

    /** Returns the second attempts that were sent; each cost one cancelled attempt. */
    public long sent() {
        return mSent.sum();
    }

    /** Returns the second attempts that answered first. */
    public long wins() {
        return mWon.sum();
    }
}
