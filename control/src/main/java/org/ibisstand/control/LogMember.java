package org.ibisstand.control;

/**
 * One control member.
 *
 * @param name the identity, never used again after its disk is lost
 * @param address host and port of its connections with other processes
 * @param voter whether it counts towards a quorum
 */
public record LogMember(String name, String address, boolean voter) {}
