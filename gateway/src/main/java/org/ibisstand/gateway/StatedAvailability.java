package org.ibisstand.gateway;

import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * What one incarnation of a backend server said in its responses about the requests it wants. Pure
 * computation; times are in milliseconds of the gateway's clock.
 *
 * <p>It holds whatever the server's record says, also after the control plane delisted the server
 * for a while.
 */
final class StatedAvailability {
    private static final long NEVER = Long.MAX_VALUE;

    /** Spreads the trials of the gateways that the server asked for the same pause. */
    private static final double SPREAD_MILLISECONDS = 250;

    private final RandomGenerator mRandom;
    private long mLeavingSince = NEVER;
    private long mPausedUntil;
    private boolean mTrialDue;
    private Optional<Attempt> mTrial = Optional.empty();

    StatedAvailability(RandomGenerator random) {
        mRandom = random;
    }

    /**
     * Records that the server will stop soon.
     *
     * @return whether it had not said so before
     */
    boolean recordLeaving(long now) {
        boolean isNew = !isLeaving();
        mLeavingSince = Math.min(mLeavingSince, now);
        return isNew;
    }

    boolean isLeaving() {
        return mLeavingSince != NEVER;
    }

    /**
     * Records that the server wants no requests for a while. A shorter pause doesn't end a longer
     * one.
     */
    void recordPause(long milliseconds, long now) {
        long spread = (long) (mRandom.nextDouble() * SPREAD_MILLISECONDS);
        mPausedUntil = Math.max(mPausedUntil, now + milliseconds + spread);
        mTrialDue = true;
    }

    /** Records a response without a pause, which ends the trial if it is not a late one. */
    void recordNoPause(long now) {
        if (!isPaused(now)) {
            mTrialDue = false;
        }
    }

    void attemptSent(Attempt attempt, long now) {
        if (mTrialDue && !isPaused(now)) {
            mTrial = Optional.of(attempt);
        }
    }

    void attemptEnded(Attempt attempt) {
        if (mTrial.filter(trial -> trial == attempt).isPresent()) {
            mTrial = Optional.empty();
        }
    }

    boolean isPaused(long now) {
        return now < mPausedUntil;
    }

    /** Returns whether one more request may be sent; after a pause, one at a time is a trial. */
    boolean wantsRequest(long now) {
        return !isPaused(now) && (!mTrialDue || mTrial.isEmpty());
    }

    /** Returns for how long the server wants no requests; zero if it wants some. */
    long pauseMilliseconds(long now) {
        return Math.max(0, mPausedUntil - now);
    }

    /** Returns when the server first said that it leaves; the end of time if it did not. */
    long leavingSince() {
        return mLeavingSince;
    }
}
