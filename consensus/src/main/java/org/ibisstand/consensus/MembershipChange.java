package org.ibisstand.consensus;

/** A change that adds or removes at most one vote, so that old and new majorities overlap. */
public sealed interface MembershipChange {
    /**
     * Lets a new member receive the log without a vote.
     *
     * @param member the new member and its disk
     * @param address where the other members reach it
     */
    record AddLearner(MemberIdentifier member, String address) implements MembershipChange {}

    /**
     * Gives a learner that has caught up its vote.
     *
     * @param member the learner
     */
    record Promote(MemberIdentifier member) implements MembershipChange {}

    /**
     * Removes a member for good.
     *
     * @param member the learner or voter to remove
     */
    record Remove(MemberIdentifier member) implements MembershipChange {}
}
