package org.ibisstand.gateway;

/**
 * What one incarnation of a backend server said in its responses about the requests it wants. Pure
 * computation; times are in milliseconds of the gateway's clock.
 *
 * <p>It holds whatever the server's record says, also after the control plane delisted the server
 * for a while.
 */
final class StatedAvailability {
    private static final long NEVER = Long.MAX_VALUE;

    private long mLeavingSince = NEVER;

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

    /** Returns when the server first said that it leaves; the end of time if it did not. */
    long leavingSince() {
        return mLeavingSince;
    }
}
