package org.ibisstand.storage;

import java.util.Deque;
import java.util.OptionalLong;

/**
 * What a data folder holds.
 *
 * @param recovered the content
 * @param segments the segments, open
 * @param syncedIndex the last record that is known to be durable
 * @param resetIndex the snapshot's index if the log does not match it and has to start anew
 */
record StoredFiles(
        Recovered recovered, Deque<Segment> segments, long syncedIndex, OptionalLong resetIndex) {
    /** Returns the index of the last record, or of the snapshot if no record follows it. */
    long lastIndex() {
        return resetIndex.orElseGet(() -> segments.getLast().lastIndex());
    }
}
