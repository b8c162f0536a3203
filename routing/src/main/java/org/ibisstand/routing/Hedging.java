package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/**
 * Decides when a late request is hedged by a second attempt at another agent.
 *
 * <p>Only short, idempotent requests are hedged, after a multiple of the median of recent latencies
 * and within a budget that is a share of the requests. The median is stable while up to half of the
 * agents are slowed; a high percentile would follow the slowed ones. The caller takes the first
 * response and cancels the other attempt, whose work is wasted. Thread-safe.
 */
public final class Hedging {
    private static final double STANDARD_SHARE = 0.1;
    private static final double MEDIAN = 0.5;
    private static final double LATE_FACTOR = 1.5;
    private static final double BUDGET_CAPACITY = 10;
    private static final int MINIMUM_SAMPLES = 50;
    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final TimeQuantiles mLatencies;
    private final RetryBudget mBudget;
    private final LongAdder mSent = new LongAdder();
    private final LongAdder mWon = new LongAdder();

    private Hedging(TimeQuantiles latencies, RetryBudget budget) {
        mLatencies = latencies;
        mBudget = budget;
    }

    /**
     * Creates an instance with the budget that entries use.
     *
     * @param now the current time
     */
    public static Hedging standard(Instant now) {
        return create(STANDARD_SHARE, now);
    }

    /**
     * Creates an instance without latencies, which hedges nothing until it has enough of them.
     *
     * @param share second attempts earned by each request, between zero and one
     * @param now the current time
     */
    public static Hedging create(double share, Instant now) {
        return new Hedging(
                new TimeQuantiles(WINDOW, MINIMUM_SAMPLES, now),
                RetryBudget.create(share, 0, BUDGET_CAPACITY, now));
    }

    /**
     * Records the latency of a request that was eligible for hedging, which also earns budget.
     *
     * @param time the time from sending the request to its first token or byte
     * @param now the current time
     */
    public void recordLatency(Duration time, Instant now) {
        mLatencies.add(time, now);
        mBudget.recordSuccess();
    }

    /**
     * Returns the time after which a request counts as late, or empty if it must not be hedged or
     * too few latencies are known.
     *
     * @param idempotent whether the request may run more than once
     * @param isShort whether the request is little work
     * @param now the current time
     */
    public Optional<Duration> delay(boolean idempotent, boolean isShort, Instant now) {
        return idempotent && isShort
                ? mLatencies.quantile(MEDIAN, now).map(Hedging::delayAfterMedian)
                : Optional.empty();
    }

    private static Duration delayAfterMedian(Duration median) {
        return Duration.ofNanos((long) (median.toNanos() * LATE_FACTOR));
    }

    /**
     * Takes a second attempt from the budget; to be called when a request is late. Returns false if
     * the budget is used up.
     *
     * @param now the current time
     */
    public boolean tryAcquire(Instant now) {
        boolean isTaken = mBudget.tryAcquire(now);
        if (isTaken) {
            mSent.increment();
        }
        return isTaken;
    }

    /** Records that the second attempt of a request responded first. */
    public void recordWin() {
        mWon.increment();
    }

    /** Returns the number of second attempts sent; each of them wasted one cancelled attempt. */
    public long sent() {
        return mSent.sum();
    }

    /** Returns the number of second attempts that responded first. */
    public long wins() {
        return mWon.sum();
    }
}
