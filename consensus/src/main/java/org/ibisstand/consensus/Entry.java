package org.ibisstand.consensus;

/**
 * One entry of the replicated log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended it
 * @param content what it does once committed
 */
public record Entry(long index, long term, EntryContent content) {}
