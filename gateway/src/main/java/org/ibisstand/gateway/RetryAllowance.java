package org.ibisstand.gateway;

import java.time.Clock;

/**
 * Bounds how often requests to one service are sent to a further backend server, so that all
 * entries together stay within the share that operators allow, also while most requests fail.
 *
 * <p>The load pattern it answers: a service that fails under load, where each repeat adds to it.
 */
final class RetryAllowance {
    /** Kept free of the allowed share, since entries count their windows at different times. */
    private static final double USED_SHARE = 0.8;

    /** The window slides by a tenth of its length. */
    private static final int BUCKETS = 10;

    private final double mRatio;
    private final double mFixed;
    private final long mBucketMilliseconds;
    private final Clock mClock;
    private final long[] mFirst = new long[BUCKETS];
    private final long[] mRepeated = new long[BUCKETS];
    private long mBucket;

    /**
     * Creates an allowance.
     *
     * @param ratio repeats for each request in a window
     * @param fixed repeats in a window in any case, for all entries together
     * @param windowMilliseconds the length of a window
     * @param clock tells the window
     */
    RetryAllowance(double ratio, double fixed, long windowMilliseconds, Clock clock) {
        mRatio = ratio;
        mFixed = fixed;
        mBucketMilliseconds = Math.max(1, windowMilliseconds / BUCKETS);
        mClock = clock;
    }

    /** Counts a request that is sent for the first time. */
    void first() {
        roll();
        mFirst[(int) (mBucket % BUCKETS)]++;
    }

    /**
     * Takes one repeat if the allowance has one left.
     *
     * @param entries how many entries share the fixed part
     */
    boolean take(int entries) {
        roll();
        long first = 0;
        long repeated = 0;
        for (int index = 0; index < BUCKETS; index++) {
            first += mFirst[index];
            repeated += mRepeated[index];
        }
        double allowed = USED_SHARE * (mRatio * first + mFixed / Math.max(1, entries));
        if (repeated + 1 > allowed) {
            return false;
        }
        mRepeated[(int) (mBucket % BUCKETS)]++;
        return true;
    }

    private void roll() {
        long now = mClock.millis() / mBucketMilliseconds;
        long from = Math.max(mBucket + 1, now - BUCKETS + 1);
        for (long bucket = from; bucket <= now; bucket++) {
            mFirst[(int) (bucket % BUCKETS)] = 0;
            mRepeated[(int) (bucket % BUCKETS)] = 0;
        }
        mBucket = Math.max(mBucket, now);
    }
}
