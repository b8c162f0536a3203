package org.ibisstand.routing;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Limits extra attempts to a share of the successful ones, so that retries cannot amplify an
 * overload.
 *
 * <p>A small constant rate is allowed in addition, since without traffic there are no successes to
 * earn from. Thread-safe.
 */
public final class RetryBudget {
    private final double mAttemptsPerSuccess;
    private final double mAttemptsPerSecond;
    private final double mCapacity;
    private final AtomicReference<TokenBucket> mBucket;

    private RetryBudget(
            double attemptsPerSuccess, double attemptsPerSecond, double capacity, Instant now) {
        mAttemptsPerSuccess = attemptsPerSuccess;
        mAttemptsPerSecond = attemptsPerSecond;
        mCapacity = capacity;
        mBucket = new AtomicReference<>(new TokenBucket(capacity, now));
    }

    /**
     * Returns a full budget.
     *
     * @param attemptsPerSuccess extra attempts earned by each success, between zero and one
     * @param attemptsPerSecond extra attempts earned per second, independent of successes
     * @param capacity the maximum number of extra attempts that accumulate
     * @param now the current time
     */
    public static RetryBudget create(
            double attemptsPerSuccess, double attemptsPerSecond, double capacity, Instant now) {
        return new RetryBudget(attemptsPerSuccess, attemptsPerSecond, capacity, now);
    }

    /** Records a successful attempt, which earns a share of an extra attempt. */
    public void recordSuccess() {
        mBucket.updateAndGet(bucket -> bucket.plus(mAttemptsPerSuccess, mCapacity));
    }

    /**
     * Takes one extra attempt from the budget; returns false if there is none.
     *
     * @param now the current time
     */
    public boolean tryAcquire(Instant now) {
        TokenBucket before;
        TokenBucket after;
        do {
            before = mBucket.get();
            after = before.refilled(mAttemptsPerSecond, mCapacity, now);
            if (!after.hasToken()) {
                return false;
            }
        } while (!mBucket.compareAndSet(before, after.minusOne()));
        return true;
    }
}
