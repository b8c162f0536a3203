package org.ibisstand.routing;

import java.util.Arrays;

/**
 * Maps 64-bit hashes to non-negative integers, such as time stamps or counts, in two primitive
 * arrays.
 *
 * <p>An open-addressing hash table with linear probing. At most three quarters of the slots are
 * used, so an entry of a grown table takes 16 to 32 bytes. Not thread-safe.
 */
final class LongIntMap {
    private static final int MINIMUM_SLOTS = 64;
    private static final int ABSENT = -1;
    private static final int BYTES_PER_SLOT = Long.BYTES + Integer.BYTES;

    private long[] mKeys = new long[MINIMUM_SLOTS];
    private int[] mValues = new int[MINIMUM_SLOTS];
    private int mSize;
    // The key zero marks a free slot, so the entry of key zero is stored separately.
    private int mZeroValue = ABSENT;

    /** Returns the value of a key, or a negative number if it is absent. */
    int get(long key) {
        if (key == 0) {
            return mZeroValue;
        }
        int slot = findSlot(key);
        return mKeys[slot] == key ? mValues[slot] : ABSENT;
    }

    void put(long key, int value) {
        if (key == 0) {
            mZeroValue = value;
            return;
        }
        int slot = findSlot(key);
        if (mKeys[slot] != key) {
            mKeys[slot] = key;
            mSize++;
        }
        mValues[slot] = value;
        if (mSize > mKeys.length / 4 * 3) {
            resize(mKeys.length * 2);
        }
    }

    void remove(long key) {
        if (key == 0) {
            mZeroValue = ABSENT;
            return;
        }
        int slot = findSlot(key);
        if (mKeys[slot] == key) {
            mSize--;
            shiftBack(slot);
        }
    }

    /** Removes all entries with a value below the given one. */
    void removeBelow(int value) {
        long[] keys = mKeys;
        int[] values = mValues;
        int zeroValue = mZeroValue;
        clear();
        mZeroValue = zeroValue >= value ? zeroValue : ABSENT;
        for (int slot = 0; slot < keys.length; slot++) {
            if (keys[slot] != 0 && values[slot] >= value) {
                put(keys[slot], values[slot]);
            }
        }
    }

    /** Removes the given number of entries with the lowest values, or all if there are fewer. */
    void removeLowest(int count) {
        if (count >= size()) {
            clear();
            return;
        }
        int[] sorted = sortedValues();
        int threshold = sorted[count - 1];
        int below = 0;
        while (sorted[below] < threshold) {
            below++;
        }
        removeBelow(threshold);
        removeWithValue(threshold, count - below);
    }

    void clear() {
        mKeys = new long[MINIMUM_SLOTS];
        mValues = new int[MINIMUM_SLOTS];
        mSize = 0;
        mZeroValue = ABSENT;
    }

    int size() {
        return mZeroValue == ABSENT ? mSize : mSize + 1;
    }

    long memoryBytes() {
        return (long) mKeys.length * BYTES_PER_SLOT;
    }

    private int[] sortedValues() {
        int[] sorted = new int[size()];
        int next = 0;
        if (mZeroValue != ABSENT) {
            sorted[next++] = mZeroValue;
        }
        for (int slot = 0; slot < mKeys.length; slot++) {
            if (mKeys[slot] != 0) {
                sorted[next++] = mValues[slot];
            }
        }
        Arrays.sort(sorted);
        return sorted;
    }

    /** Removes the given number of entries with the given value. */
    private void removeWithValue(int value, int count) {
        int remaining = count;
        for (long key : mKeys.clone()) {
            if (remaining > 0 && key != 0 && get(key) == value) {
                remove(key);
                remaining--;
            }
        }
        if (remaining > 0 && mZeroValue == value) {
            mZeroValue = ABSENT;
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
                mValues[free] = mValues[slot];
                free = slot;
            }
            slot = (slot + 1) & mask;
        }
        mKeys[free] = 0;
    }

    private void resize(int slots) {
        long[] keys = mKeys;
        int[] values = mValues;
        mKeys = new long[slots];
        mValues = new int[slots];
        for (int slot = 0; slot < keys.length; slot++) {
            if (keys[slot] != 0) {
                int target = findSlot(keys[slot]);
                mKeys[target] = keys[slot];
                mValues[target] = values[slot];
            }
        }
    }

    private static int preferredSlot(long key, int mask) {
        return (int) (key ^ (key >>> 32)) & mask;
    }
}
