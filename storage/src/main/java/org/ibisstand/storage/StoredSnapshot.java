package org.ibisstand.storage;

/**
 * A snapshot that replaces all records up to an index.
 *
 * @param index the index of the last record that it covers
 * @param term the term of that record
 * @param payload the content, opaque to the storage layer
 */
public record StoredSnapshot(long index, long term, byte[] payload) {}
