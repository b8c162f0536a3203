package org.ibisstand.routing.quota;

/** What a gateway asked and got of late for one team. */
final class GatewayUse {
    private static final long SLOT_MILLISECONDS = 1_000;

    private final RecentUnits mUnits =
            new RecentUnits(
                    SLOT_MILLISECONDS, (int) (TeamBucket.RECENT_MILLISECONDS / SLOT_MILLISECONDS));
    private long mLastAsked;
    private long mAllowance;

    static RecentUnits newUnits() {
        return new GatewayUse().mUnits;
    }

    long lastAsked() {
        return mLastAsked;
    }

    /** Returns the allowance of the last answer, which the next answer replaces. */
    long allowance() {
        return mAllowance;
    }

    void answered(long now, long allowance) {
        mLastAsked = now;
        mAllowance = allowance;
    }

    RecentUnits units() {
        return mUnits;
    }
}
