package org.ibisstand.agent;

import java.util.List;

/**
 * Changes of the KV cache of an engine.
 *
 * @param epoch changes when the engine restarts
 * @param nextCursor the position to pass to the next request for events
 * @param hasGap whether the engine dropped events that preceded these
 * @param changes the changes, oldest first
 */
public record CacheEvents(long epoch, long nextCursor, boolean hasGap, List<Change> changes) {
    /** Copies the list, so that the record is immutable. */
    public CacheEvents {
        changes = List.copyOf(changes);
    }

    /**
     * The addition or removal of one prompt part.
     *
     * @param added whether the part was added
     * @param salt the cache salt of the part
     * @param part the identifier of the part
     * @param tokens the number of its tokens that are cached
     */
    public record Change(boolean added, String salt, String part, int tokens) {}
}
