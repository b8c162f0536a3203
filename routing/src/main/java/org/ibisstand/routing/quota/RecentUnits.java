package org.ibisstand.routing.quota;

/** Sums units over a sliding window of fixed slots. */
final class RecentUnits {
    private final long mSlotMilliseconds;
    private final double[] mSlots;
    private long mNewestSlot;

    /**
     * Creates an empty window.
     *
     * @param slotMilliseconds the length of a slot
     * @param slotCount how many slots are summed, the present one included
     */
    RecentUnits(long slotMilliseconds, int slotCount) {
        mSlotMilliseconds = slotMilliseconds;
        mSlots = new double[slotCount];
    }

    void add(long now, double units) {
        advance(now);
        mSlots[indexOf(mNewestSlot)] += units;
    }

    /** Removes units that were added at a time; has no effect after they left the window. */
    void remove(long now, long addedAt, double units) {
        advance(now);
        long slot = addedAt / mSlotMilliseconds;
        if (slot > mNewestSlot - mSlots.length) {
            mSlots[indexOf(slot)] -= units;
        }
    }

    double total(long now) {
        advance(now);
        double total = 0;
        for (double units : mSlots) {
            total += units;
        }
        return total;
    }

    private void advance(long now) {
        long slot = now / mSlotMilliseconds;
        long first = Math.max(mNewestSlot + 1, slot - mSlots.length + 1);
        for (long cleared = first; cleared <= slot; cleared++) {
            mSlots[indexOf(cleared)] = 0;
        }
        mNewestSlot = Math.max(mNewestSlot, slot);
    }

    private int indexOf(long slot) {
        return (int) Math.floorMod(slot, (long) mSlots.length);
    }
}
