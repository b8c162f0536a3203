package org.ibisstand.measure.quota;

import org.ibisstand.settings.TeamQuota;

/** A token bucket that starts full and may be overdrawn. */
final class Bucket {
    private final double mUnitsPerMillisecond;
    private final double mCapacity;
    private double mLevel;
    private long mRefilledAt;

    Bucket(TeamQuota quota, double share, long now) {
        mUnitsPerMillisecond = quota.unitsPerSecond() * share / 1_000;
        mCapacity = quota.burst() * share;
        mLevel = mCapacity;
        mRefilledAt = now;
    }

    double level(long now) {
        mLevel = Math.min(mCapacity, mLevel + (now - mRefilledAt) * mUnitsPerMillisecond);
        mRefilledAt = now;
        return mLevel;
    }

    void setLevel(double level, long now) {
        mLevel = level;
        mRefilledAt = now;
    }
}
