package org.ibisstand.consensus;

import java.util.Map;
import java.util.Set;

/** What a leader does about a change of the members that an operator asked for. */
sealed interface ChangePlan {
    /**
     * Append the new membership.
     *
     * @param membership the members after the change
     */
    record Apply(Membership membership) implements ChangePlan {}

    /** Answer at once, since an earlier request already made the change. */
    record Unchanged() implements ChangePlan {}

    /**
     * Refuse the change.
     *
     * @param reason why
     */
    record Refuse(String reason) implements ChangePlan {}

    /**
     * Decides about a change.
     *
     * @param change what was asked for
     * @param present the members now
     * @param progress what each member has
     * @param commitIndex what a member must have before it votes
     * @param inContact the members that answered lately
     */
    static ChangePlan of(
            MembershipChange change,
            Membership present,
            Map<MemberIdentifier, Progress> progress,
            long commitIndex,
            Set<MemberIdentifier> inContact) {
        return switch (change) {
            case MembershipChange.AddLearner add -> addLearner(add, present);
            case MembershipChange.Promote promote ->
                    promote(promote.member(), present, progress, commitIndex);
            case MembershipChange.Remove remove -> remove(remove.member(), present, inContact);
        };
    }

    private static ChangePlan addLearner(MembershipChange.AddLearner add, Membership present) {
        if (present.member(add.member()).isPresent()) {
            return new Unchanged();
        }
        return new Apply(present.with(new Member(add.member(), add.address(), false)));
    }

    private static ChangePlan promote(
            MemberIdentifier member,
            Membership present,
            Map<MemberIdentifier, Progress> progress,
            long commitIndex) {
        if (present.member(member).isEmpty()) {
            return new Refuse(member + " is no member; add it as a learner first");
        }
        if (present.isVoter(member)) {
            return new Unchanged();
        }
        if (progress.get(member).matchIndex() < commitIndex) {
            return new Refuse(member + " has not caught up yet");
        }
        String address = present.member(member).orElseThrow().address();
        return new Apply(present.with(new Member(member, address, true)));
    }

    private static ChangePlan remove(
            MemberIdentifier member, Membership present, Set<MemberIdentifier> inContact) {
        if (present.member(member).isEmpty()) {
            return new Unchanged();
        }
        Membership remaining = present.without(member);
        if (remaining.voters().isEmpty()) {
            return new Refuse(member + " is the last member that votes");
        }
        if (!hasMajority(remaining.voters(), inContact)) {
            return new Refuse("without " + member + " no majority would be in contact");
        }
        return new Apply(remaining);
    }

    private static boolean hasMajority(
            Set<MemberIdentifier> voters, Set<MemberIdentifier> inContact) {
        return voters.stream().filter(inContact::contains).count() > voters.size() / 2;
    }
}
