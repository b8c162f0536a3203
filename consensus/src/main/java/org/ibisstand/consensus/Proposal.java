package org.ibisstand.consensus;

/**
 * A command to append to the log.
 *
 * @param ticket names the request in the outputs
 * @param command what to append
 */
public record Proposal(long ticket, byte[] command) {}
