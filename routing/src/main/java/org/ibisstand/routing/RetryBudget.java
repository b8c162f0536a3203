package org.ibisstand.routing;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Bounds extra attempts to a share of the successes, so that retries cannot multiply an overload.
 *
 * <p>A small steady rate is allowed besides, since without traffic there are no successes to earn
 * from. May be used by any thread.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mPerSecond;
    private final double mMaximum;
    private final AtomicReference<TokenBucket> mBucket;

    private RetryBudget(double share, double perSecond, double maximum, Instant now) {
        mShare = share;
        mPerSecond = perSecond;
        mMaximum = maximum;
        mBucket = new AtomicReference<>(new TokenBucket(maximum, now));
    }

    /**
     * Returns a full budget.
     *
     * @param share extra attempts that each success earns, between zero and one
     * @param perSecond extra attempts that are earned each second in any case
     * @param maximum the most extra attempts that are saved up
     * @param now the present
     */
    public static RetryBudget create(double share, double perSecond, double maximum, Instant now) {
        return new RetryBudget(share, perSecond, maximum, now);
    }

    /** Earns a share of an extra attempt. */
    public void recordSuccess() {
        mBucket.updateAndGet(bucket -> bucket.plus(mShare, mMaximum));
    }

    /**
     * Takes one extra attempt if the budget allows it.
     *
     * @param now the present
     */
    public boolean tryAcquire(Instant now) {
        TokenBucket before;
        TokenBucket after;
        do {
            before = mBucket.get();
            after = before.refilled(mPerSecond, mMaximum, now);
            if (!after.hasOne()) {
                return false;
            }
        } while (!mBucket.compareAndSet(before, after.minusOne()));
        return true;
    }
}
