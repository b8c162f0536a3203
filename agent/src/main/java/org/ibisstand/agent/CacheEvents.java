package org.ibisstand.agent;

import java.util.List;

/**
 * What changed in an engine's cache.
 *
 * @param epoch changes when the engine restarts
 * @param nextCursor where the next question starts
 * @param hasGap whether events before these were dropped
 * @param changes in order
 */
public record CacheEvents(long epoch, long nextCursor, boolean hasGap, List<Change> changes) {
    /** Copies the list, so that events never change. */
    public CacheEvents {
        changes = List.copyOf(changes);
    }

    /**
     * One part of a prompt that came or went.
     *
     * @param added whether the part is held now
     * @param salt that it is held under
     * @param part its identifier
     * @param tokens how much of it is held
     */
    public record Change(boolean added, String salt, String part, int tokens) {}
}
