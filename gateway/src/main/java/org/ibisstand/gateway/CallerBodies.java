package org.ibisstand.gateway;

/**
 * Counts the memory of the bodies that callers have sent, from their first byte until the request
 * has ended. Confined to the gateway's event loop.
 *
 * <p>Callers may upload large bodies at the same time. A request that does not fit is refused
 * before it is passed on, so that its caller can send it elsewhere, and the requests that are being
 * served keep their memory.
 */
final class CallerBodies {
    /** An eighth of the heap of a gateway; three bodies of the usual maximum size. */
    static final int MAXIMUM_BYTES = 12 << 20;

    private long mBytes;

    /** Returns whether a body of this size may be read. */
    boolean hasRoomFor(long bytes) {
        return mBytes + bytes <= MAXIMUM_BYTES;
    }

    void add(int bytes) {
        mBytes += bytes;
    }

    void remove(int bytes) {
        mBytes -= bytes;
    }
}
