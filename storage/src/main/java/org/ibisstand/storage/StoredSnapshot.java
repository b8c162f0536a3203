package org.ibisstand.storage;

/**
 * A snapshot that stands for all records up to an index.
 *
 * @param index the last record that it covers
 * @param term the term of that record
 * @param payload the content, which storage does not interpret
 */
public record StoredSnapshot(long index, long term, byte[] payload) {}
