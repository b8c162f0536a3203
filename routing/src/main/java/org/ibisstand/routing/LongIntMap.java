package org.ibisstand.routing;

import java.util.Arrays;

/**
 * Maps 64-bit hashes to 32-bit stamps in two primitive arrays.
 *
 * <p>An open-addressing hash table with linear probing. At most three quarters of the slots are
 * used, so an entry of a grown table takes 16 to 32 bytes. Not thread-safe.
 */
final class LongStampMap {
    private static final int MINIMUM_SLOTS = 64;
    private static final int ABSENT = -1;
    private static final int BYTES_PER_SLOT = Long.BYTES + Integer.BYTES;

    private long[] mKeys = new long[MINIMUM_SLOTS];
    private int[] mStamps = new int[MINIMUM_SLOTS];
    private int mSize;
    // The key zero marks a free slot, so the entry of key zero is stored separately.
    private int mZeroStamp = ABSENT;

    /** Returns the stamp of a key, or a negative number if it is absent. */
    int get(long key) {
        if (key == 0) {
            return mZeroStamp;
        }
        int slot = findSlot(key);
        return mKeys[slot] == key ? mStamps[slot] : ABSENT;
    }

    void put(long key, int stamp) {
        if (key == 0) {
            mZeroStamp = stamp;
            return;
        }
        int slot = findSlot(key);
        if (mKeys[slot] != key) {
            mKeys[slot] = key;
            mSize++;
        }
        mStamps[slot] = stamp;
        if (mSize > mKeys.length / 4 * 3) {
            resize(mKeys.length * 2);
        }
    }

    void remove(long key) {
        if (key == 0) {
            mZeroStamp = ABSENT;
            return;
        }
        int slot = findSlot(key);
        if (mKeys[slot] == key) {
            mSize--;
            shiftBack(slot);
        }
    }

    /** Removes all entries with a stamp below the given one. */
    void removeBelow(int stamp) {
        long[] keys = mKeys;
        int[] stamps = mStamps;
        int zeroStamp = mZeroStamp;
        clear();
        mZeroStamp = zeroStamp >= stamp ? zeroStamp : ABSENT;
        for (int slot = 0; slot < keys.length; slot++) {
            if (keys[slot] != 0 && stamps[slot] >= stamp) {
                put(keys[slot], stamps[slot]);
            }
        }
    }

    /** Removes the given number of entries with the lowest stamps, or all if there are fewer. */
    void removeOldest(int count) {
        if (count >= size()) {
            clear();
            return;
        }
        int[] sorted = sortedStamps();
        int threshold = sorted[count - 1];
        int below = 0;
        while (sorted[below] < threshold) {
            below++;
        }
        removeBelow(threshold);
        removeWithStamp(threshold, count - below);
    }

    void clear() {
        mKeys = new long[MINIMUM_SLOTS];
        mStamps = new int[MINIMUM_SLOTS];
        mSize = 0;
        mZeroStamp = ABSENT;
    }

    int size() {
        return mZeroStamp == ABSENT ? mSize : mSize + 1;
    }

    long memoryBytes() {
        return (long) mKeys.length * BYTES_PER_SLOT;
    }

    private int[] sortedStamps() {
        int[] sorted = new int[size()];
        int next = 0;
        if (mZeroStamp != ABSENT) {
            sorted[next++] = mZeroStamp;
        }
        for (int slot = 0; slot < mKeys.length; slot++) {
            if (mKeys[slot] != 0) {
                sorted[next++] = mStamps[slot];
            }
        }
        Arrays.sort(sorted);
        return sorted;
    }

    /** Removes the given number of entries with the given stamp. */
    private void removeWithStamp(int stamp, int count) {
        int remaining = count;
        for (long key : mKeys.clone()) {
            if (remaining > 0 && key != 0 && get(key) == stamp) {
                remove(key);
                remaining--;
            }
        }
        if (remaining > 0 && mZeroStamp == stamp) {
            mZeroStamp = ABSENT;
        }
    }

    private int findSlot(long key) {
        int mask = mKeys.length - 1;
        int slot = preferredSlot(key, mask);
        while (mKeys[slot] != 0 && mKeys[slot] != key) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    /** Moves entries back into a freed slot, so that linear probing still finds them. */
    private void shiftBack(int freed) {
        int mask = mKeys.length - 1;
        int free = freed;
        int slot = (free + 1) & mask;
        while (mKeys[slot] != 0) {
            int preferredSlot = preferredSlot(mKeys[slot], mask);
            if (((slot - preferredSlot) & mask) >= ((slot - free) & mask)) {
                mKeys[free] = mKeys[slot];
                mStamps[free] = mStamps[slot];
                free = slot;
            }
            slot = (slot + 1) & mask;
        }
        mKeys[free] = 0;
    }

    private void resize(int slots) {
        long[] keys = mKeys;
        int[] stamps = mStamps;
        mKeys = new long[slots];
        mStamps = new int[slots];
        for (int slot = 0; slot < keys.length; slot++) {
            if (keys[slot] != 0) {
                int target = findSlot(keys[slot]);
                mKeys[target] = keys[slot];
                mStamps[target] = stamps[slot];
            }
        }
    }

    private static int preferredSlot(long key, int mask) {
        return (int) (key ^ (key >>> 32)) & mask;
    }
}
