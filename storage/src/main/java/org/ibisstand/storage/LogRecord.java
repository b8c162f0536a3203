package org.ibisstand.storage;

/**
 * A stored log entry.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended the entry
 * @param payload the content, opaque to the storage layer
 */
public record LogRecord(long index, long term, byte[] payload) {}
