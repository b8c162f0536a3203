package org.ibisstand.consensus;

/**
 * One member of the replicated log.
 *
 * @param identifier the member and its disk
 * @param address where the other members reach it
 * @param voting false for a learner, which receives entries but counts for no majority
 */
public record Member(MemberIdentifier identifier, String address, boolean voting) {}
