package org.ibisstand.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the memory of all responses that are buffered until they are complete. Over the limit, the
 * largest one is rejected, since it is the most likely to be endless. Confined to the gateway's
 * event loop.
 */
final class BufferedResponses {
    /** Four responses of the maximum size, a third of the heap of a gateway. */
    static final int MAXIMUM_BYTES = 32 << 20;

    private final Set<Attempt> mAttempts = new LinkedHashSet<>();
    private long mBytes;

    /** Adds bytes that an attempt newly buffers. */
    void recordGrowth(Attempt attempt, int bytes) {
        mAttempts.add(attempt);
        mBytes += bytes;
        if (mBytes > MAXIMUM_BYTES) {
            mAttempts.stream()
                    .max(Comparator.comparingInt(Attempt::bufferedBytes))
                    .ifPresent(Attempt::discardBuffered);
        }
    }

    /** Removes the bytes of an attempt that no longer buffers anything. */
    void recordRelease(Attempt attempt, int bytes) {
        if (mAttempts.remove(attempt)) {
            mBytes -= bytes;
        }
    }
}
