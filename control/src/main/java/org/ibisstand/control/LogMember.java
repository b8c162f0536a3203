package org.ibisstand.control;

/**
 * A member of the control group.
 *
 * @param name the identity of the member, never reused after its disk is lost
 * @param address the host and port at which other processes reach the member
 * @param voter whether the member counts towards a quorum
 */
public record LogMember(String name, String address, boolean voter) {}
