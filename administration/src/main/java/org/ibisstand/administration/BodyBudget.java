package org.ibisstand.administration;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of request bodies that one server holds for all its connections together. */
final class BodyBudget {
    private final long mMaximumBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param maximumBytes the most bytes that are reserved at the same time
     */
    BodyBudget(long maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    /** Reserves bytes if there is room for them. */
    boolean tryReserve(long bytes) {
        long reserved = mReservedBytes.addAndGet(bytes);
        if (reserved > mMaximumBytes) {
            mReservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    void release(long bytes) {
        mReservedBytes.addAndGet(-bytes);
    }
}
