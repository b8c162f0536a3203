package org.ibisstand.gateway;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts the memory of the parts of responses that are held: bodies and events until they are
 * complete, and bodies until a caller has read them. Over the limit, the largest one is dropped,
 * since it is the most likely to be endless. Confined to the gateway's event loop.
 */
final class BufferedResponses {
    /** Three responses of the maximum size, a quarter of the heap of a gateway. */
    static final int MAXIMUM_BYTES = 24 << 20;

    private final long mMaximumBytes;
    private final Map<Holder, Integer> mBytesByHolder = new LinkedHashMap<>();
    private long mBytes;

    /** Creates a count with a limit for all holders together. */
    BufferedResponses(long maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    /** Holds a part of a response. */
    interface Holder {
        /** Gives up the response, because those of all requests take too much memory. */
        void discardBuffered();
    }

    /** Sets the number of bytes that a holder holds now; drops the largest one over the limit. */
    void update(Holder holder, int bytes) {
        boolean hasGrown = bytes > mBytesByHolder.getOrDefault(holder, 0);
        set(holder, bytes);
        if (hasGrown && mBytes > mMaximumBytes) {
            mBytesByHolder.entrySet().stream()
                    .max(Comparator.comparingInt(Map.Entry::getValue))
                    .ifPresent(largest -> largest.getKey().discardBuffered());
        }
    }

    private void set(Holder holder, int bytes) {
        Integer before =
                bytes > 0 ? mBytesByHolder.put(holder, bytes) : mBytesByHolder.remove(holder);
        mBytes += bytes - (before == null ? 0 : before);
    }
}
