package org.ibisstand.routing;

/**
 * Estimates the prefill rate of an engine from the arrival times of first tokens.
 *
 * <p>The interval between generated tokens shows a slow-down at once, long before the average over
 * finished prompts does. The estimate is divided by the ratio of the recent to the normal interval,
 * so that it falls and recovers with it.
 */
final class PrefillRate {
    private static final double INITIAL_BYTES_PER_MILLISECOND = 32;
    private static final double MINIMUM_BYTES_PER_MILLISECOND = 0.1;
    private static final double INITIAL_BUSY_MILLISECONDS = 200;
    private static final double DECAY_MILLISECONDS = 10_000;
    private static final double INTERVAL_SMOOTHING = 0.3;
    private static final double NORMAL_INTERVAL_RISE_SMOOTHING = 0.002;
    private static final double SLOWED_RATIO = 2;
    private static final double SLOWNESS_EXPIRY_MILLISECONDS = 1000;

    private double mPrefilledBytes = INITIAL_BYTES_PER_MILLISECOND * INITIAL_BUSY_MILLISECONDS;
    private double mBusyMilliseconds = INITIAL_BUSY_MILLISECONDS;
    private double mBusySinceFirstTokenMilliseconds;
    private double mOutstandingBytes;
    private double mAdvancedToMilliseconds;
    private double mTokenIntervalMilliseconds;
    private double mNormalTokenIntervalMilliseconds;
    private double mLastTokenMilliseconds;

    /**
     * Accounts for the time since the last call. Must be called before outstanding work changes.
     *
     * @param now the current time in milliseconds
     * @param outstandingBytes the dispatched prompt bytes without a first token yet
     */
    void advance(double now, double outstandingBytes) {
        if (outstandingBytes > 0) {
            mBusySinceFirstTokenMilliseconds +=
                    Math.max(0, now - mAdvancedToMilliseconds) / slowness(now);
        }
        mAdvancedToMilliseconds = now;
        mOutstandingBytes = outstandingBytes;
    }

    /** Records that the engine computed the uncached bytes of a prompt. */
    void prefillCompleted(double bytes) {
        double retained = Math.exp(-mBusySinceFirstTokenMilliseconds / DECAY_MILLISECONDS);
        mPrefilledBytes = mPrefilledBytes * retained + bytes;
        mBusyMilliseconds = mBusyMilliseconds * retained + mBusySinceFirstTokenMilliseconds;
        mBusySinceFirstTokenMilliseconds = 0;
        mOutstandingBytes = Math.max(0, mOutstandingBytes - bytes);
    }

    /** Records the time between two tokens of one response. */
    void tokenGenerated(double now, double intervalMilliseconds) {
        mTokenIntervalMilliseconds =
                mTokenIntervalMilliseconds == 0
                        ? intervalMilliseconds
                        : mTokenIntervalMilliseconds
                                + INTERVAL_SMOOTHING
                                        * (intervalMilliseconds - mTokenIntervalMilliseconds);
        mNormalTokenIntervalMilliseconds = updatedNormalInterval(intervalMilliseconds);
        mLastTokenMilliseconds = now;
    }

    double bytesPerMillisecond(double now) {
        double measured = mPrefilledBytes / Math.max(1, mBusyMilliseconds);
        // If the engine were faster, the outstanding work would be done by now.
        double upperBound =
                (mPrefilledBytes + mOutstandingBytes)
                        / Math.max(1, mBusyMilliseconds + mBusySinceFirstTokenMilliseconds);
        return Math.max(MINIMUM_BYTES_PER_MILLISECOND, Math.min(measured, upperBound))
                / slowness(now);
    }

    /** Returns the ratio of the recent to the normal token interval; one if it is below two. */
    double slowness(double now) {
        boolean isKnown =
                mNormalTokenIntervalMilliseconds > 0
                        && now - mLastTokenMilliseconds < SLOWNESS_EXPIRY_MILLISECONDS;
        double ratio = isKnown ? mTokenIntervalMilliseconds / mNormalTokenIntervalMilliseconds : 1;
        return ratio < SLOWED_RATIO ? 1 : ratio;
    }

    private double updatedNormalInterval(double intervalMilliseconds) {
        if (mNormalTokenIntervalMilliseconds == 0
                || intervalMilliseconds < mNormalTokenIntervalMilliseconds) {
            return mNormalTokenIntervalMilliseconds == 0
                    ? intervalMilliseconds
                    : mNormalTokenIntervalMilliseconds
                            + INTERVAL_SMOOTHING
                                    * (intervalMilliseconds - mNormalTokenIntervalMilliseconds);
        }
        return mNormalTokenIntervalMilliseconds
                + NORMAL_INTERVAL_RISE_SMOOTHING
                        * (intervalMilliseconds - mNormalTokenIntervalMilliseconds);
    }
}
