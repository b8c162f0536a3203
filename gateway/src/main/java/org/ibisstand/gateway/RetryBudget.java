package org.ibisstand.gateway;

import java.time.Clock;

/**
 * Limits retries of requests to one service, so that all gateways together stay within the share
 * that operators allow, even while most requests fail.
 *
 * <p>This prevents retry storms: when a service fails under load, each retry adds to the load.
 */
final class RetryBudget {
    /** The rest of the allowed share is margin, as the windows of gateways are not aligned. */
    private static final double USABLE_SHARE = 0.8;

    /** The window slides in steps of a tenth of its length. */
    private static final int BUCKETS = 10;

    private final double mRatio;
    private final double mFixedRetries;
    private final long mBucketMilliseconds;
    private final Clock mClock;
    private final long[] mRequests = new long[BUCKETS];
    private final long[] mRetries = new long[BUCKETS];
    private long mCurrentBucket;

    /**
     * Creates a budget.
     *
     * @param ratio how many retries each request in a window allows
     * @param fixedRetries how many more retries a window allows, for all gateways together
     * @param windowMilliseconds the length of the sliding window
     * @param clock the time source of the window
     */
    RetryBudget(double ratio, double fixedRetries, long windowMilliseconds, Clock clock) {
        mRatio = ratio;
        mFixedRetries = fixedRetries;
        mBucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS);
        mClock = clock;
    }

    /** Counts the first attempt of a request. */
    void recordRequest() {
        advanceWindow();
        mRequests[(int) (mCurrentBucket % BUCKETS)]++;
    }

    /**
     * Takes one retry if the budget allows it.
     *
     * @param gatewayCount how many gateways share the fixed retries
     */
    boolean tryAcquire(int gatewayCount) {
        advanceWindow();
        long requests = 0;
        long retries = 0;
        for (int index = 0; index < BUCKETS; index++) {
            requests += mRequests[index];
            retries += mRetries[index];
        }
        double allowed =
                USABLE_SHARE * (mRatio * requests + mFixedRetries / Math.max(1, gatewayCount));
        if (retries + 1 > allowed) {
            return false;
        }
        mRetries[(int) (mCurrentBucket % BUCKETS)]++;
        return true;
    }

    private void advanceWindow() {
        long currentBucket = mClock.millis() / mBucketMilliseconds;
        long firstNewBucket = Math.max(mCurrentBucket + 1, currentBucket - BUCKETS + 1);
        for (long bucket = firstNewBucket; bucket <= currentBucket; bucket++) {
            mRequests[(int) (bucket % BUCKETS)] = 0;
            mRetries[(int) (bucket % BUCKETS)] = 0;
        }
        mCurrentBucket = Math.max(mCurrentBucket, currentBucket);
    }
}
