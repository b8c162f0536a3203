package org.ibisstand.routing;

/**
 * Estimates how fast an engine computes prompts, from the times of first tokens.
 *
 * <p>The distance between generated tokens shows a slowed server at once, long before the average
 * of finished prompts does; the estimate goes down and comes back with it.
 */
final class PrefillSpeed {
    private static final double INITIAL_BYTES_PER_MILLISECOND = 32;
    private static final double MINIMUM_BYTES_PER_MILLISECOND = 0.1;
    private static final double INITIAL_BUSY_MILLISECONDS = 200;
    private static final double MEMORY_MILLISECONDS = 10_000;
    private static final double GAP_GAIN = 0.3;
    private static final double NORMAL_GAP_GAIN = 0.002;
    private static final double SLOWED_FROM = 2;
    private static final double FORGET_SLOWNESS_MILLISECONDS = 1000;

    private double mBytes = INITIAL_BYTES_PER_MILLISECOND * INITIAL_BUSY_MILLISECONDS;
    private double mBusyMilliseconds = INITIAL_BUSY_MILLISECONDS;
    private double mBusySinceFirstToken;
    private double mOutstandingBytes;
    private double mLastMilliseconds;
    private double mGap;
    private double mNormalGap;
    private double mLastGapMilliseconds;

    /**
     * Accounts for the time since the last call; must be called before outstanding work changes.
     *
     * @param now milliseconds
     * @param outstandingBytes the bytes inside the engine that have no first token yet
     */
    void advance(double now, double outstandingBytes) {
        if (outstandingBytes > 0) {
            mBusySinceFirstToken += Math.max(0, now - mLastMilliseconds) / slowness(now);
        }
        mLastMilliseconds = now;
        mOutstandingBytes = outstandingBytes;
    }

    /** Notes that the engine computed a prompt's missing bytes. */
    void computed(double bytes) {
        double keep = Math.exp(-mBusySinceFirstToken / MEMORY_MILLISECONDS);
        mBytes = mBytes * keep + bytes;
        mBusyMilliseconds = mBusyMilliseconds * keep + mBusySinceFirstToken;
        mBusySinceFirstToken = 0;
        mOutstandingBytes = Math.max(0, mOutstandingBytes - bytes);
    }

    /** Notes the time between two tokens of one answer. */
    void generated(double now, double gapMilliseconds) {
        mGap = mGap == 0 ? gapMilliseconds : mGap + GAP_GAIN * (gapMilliseconds - mGap);
        mNormalGap = normalGap(gapMilliseconds);
        mLastGapMilliseconds = now;
    }

    double bytesPerMillisecond(double now) {
        double measured = mBytes / Math.max(1, mBusyMilliseconds);
        // Had the engine been faster than this, its outstanding work would be done by now.
        double most =
                (mBytes + mOutstandingBytes)
                        / Math.max(1, mBusyMilliseconds + mBusySinceFirstToken);
        return Math.max(MINIMUM_BYTES_PER_MILLISECOND, Math.min(measured, most)) / slowness(now);
    }

    /** Returns how many times slower than normal the server is, one if it is not slowed. */
    double slowness(double now) {
        boolean known = mNormalGap > 0 && now - mLastGapMilliseconds < FORGET_SLOWNESS_MILLISECONDS;
        double ratio = known ? mGap / mNormalGap : 1;
        return ratio < SLOWED_FROM ? 1 : ratio;
    }

    private double normalGap(double gapMilliseconds) {
        if (mNormalGap == 0 || gapMilliseconds < mNormalGap) {
            return mNormalGap == 0
                    ? gapMilliseconds
                    : mNormalGap + GAP_GAIN * (gapMilliseconds - mNormalGap);
        }
        return mNormalGap + NORMAL_GAP_GAIN * (gapMilliseconds - mNormalGap);
    }
}
