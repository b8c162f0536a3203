package org.ibisstand.consensus;

/** A change that adds or removes at most one vote, so that old and new majorities overlap. */
public sealed interface MembershipChange {
    /**
     * Lets a new member receive the log without a vote.
     *
     * @param member the new member and its disk
     * @param address where the other members reach it
     * @param established whether the group is meant to be larger by this member; false for one that
     *     replaces another one
     */
    record AddLearner(MemberIdentifier member, String address, boolean established)
            implements MembershipChange {}

    /**
     * Gives a learner that has caught up its vote.
     *
     * @param member the learner
     */
    record Promote(MemberIdentifier member) implements MembershipChange {}

    /**
     * Removes a member for good. The group is meant to have another one in its place.
     *
     * @param member the learner or voter to remove
     */
    record Remove(MemberIdentifier member) implements MembershipChange {}

    /**
     * Removes a member for good, without a successor.
     *
     * @param member the learner or voter to remove
     */
    record Decommission(MemberIdentifier member) implements MembershipChange {}
}
