package org.ibisstand.consensus;

/**
 * Replaces all log entries up to an index.
 *
 * @param index the last entry that it covers
 * @param term the term of that entry
 * @param membership the members at that entry
 * @param state the replicated state after that entry, which consensus does not interpret
 */
public record Snapshot(long index, long term, Membership membership, byte[] state) {}
