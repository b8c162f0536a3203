package org.ibisstand.storage;

/**
 * One entry of the log as it is stored.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended it
 * @param payload the content, which storage does not interpret
 */
public record LogRecord(long index, long term, byte[] payload) {}
