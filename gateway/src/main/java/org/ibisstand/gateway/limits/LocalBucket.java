package org.ibisstand.gateway.limits;

import java.time.Clock;

/**
 * A token bucket for a gateway's part of a quota while control does not answer. A request is
 * granted while the level is above zero and charged in full, as control does it. Performs no I/O.
 */
final class LocalBucket {
    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final Clock mClock;
    private double mRate;
    private double mCapacity;
    private double mLevel;
    private double mUnreported;
    private long mRefilledAt;

    /**
     * Creates a bucket.
     *
     * @param rate the units per second that the level grows by
     * @param capacity the highest level
     * @param level the first level
     * @param clock the time source
     */
    LocalBucket(double rate, double capacity, double level, Clock clock) {
        mClock = clock;
        mRate = rate;
        mCapacity = capacity;
        mLevel = Math.min(level, capacity);
        mRefilledAt = clock.millis();
    }

    /** Replaces the rate and the capacity; the level is cut to the capacity. */
    void resize(double rate, double capacity) {
        refill();
        mRate = rate;
        mCapacity = capacity;
        mLevel = Math.min(mLevel, capacity);
    }

    /** Charges a request if the level is above zero; returns whether it was. */
    boolean tryCharge(long units) {
        refill();
        if (mLevel <= 0) {
            return false;
        }
        mLevel -= units;
        mUnreported += units;
        return true;
    }

    /** Returns units of a request that did not run. */
    void refund(long units) {
        refill();
        mLevel = Math.min(mCapacity, mLevel + units);
    }

    /** Returns the time until the level is above zero. */
    long millisecondsUntilPositive() {
        refill();
        return (long) Math.ceil(Math.max(0, -mLevel) / mRate * MILLISECONDS_PER_SECOND) + 1;
    }

    /**
     * Returns the charged units that control has not counted and that are not refilled. After a
     * long partition the sum of all charged units would keep the team from its quota for as long.
     */
    long unreported() {
        refill();
        return (long) Math.ceil(mUnreported);
    }

    /** Takes off units that control has counted. */
    void reported(long units) {
        mUnreported = Math.max(0, mUnreported - units);
    }

    private void refill() {
        long now = mClock.millis();
        double refilled = mRate * Math.max(0, now - mRefilledAt) / MILLISECONDS_PER_SECOND;
        mRefilledAt = now;
        mLevel = Math.min(mCapacity, mLevel + refilled);
        mUnreported = Math.max(0, mUnreported - refilled);
    }
}
