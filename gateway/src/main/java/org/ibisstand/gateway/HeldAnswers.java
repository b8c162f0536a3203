package org.ibisstand.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory of all answers that are held until they are whole; for the traffic thread only. When
 * there are too many, the largest one is given up, which is the likeliest to have no end.
 */
final class HeldAnswers {
    /** Four answers of the largest size, a third of the heap of a gateway. */
    static final int MAXIMUM_BYTES = 32 << 20;

    private final Set<Attempt> mHolders = new LinkedHashSet<>();
    private long mBytes;

    /** Notes that an attempt holds more than before. */
    void grown(Attempt attempt, int bytes) {
        mHolders.add(attempt);
        mBytes += bytes;
        if (mBytes > MAXIMUM_BYTES) {
            mHolders.stream()
                    .max(Comparator.comparingInt(Attempt::heldBytes))
                    .ifPresent(Attempt::giveUpHeld);
        }
    }

    /** Notes that an attempt holds nothing any more. */
    void released(Attempt attempt, int bytes) {
        if (mHolders.remove(attempt)) {
            mBytes -= bytes;
        }
    }
}
