package org.ibisstand.consensus;

import java.util.Set;

/** How a leader handles a membership change that an operator requested. */
sealed interface MembershipChangePlan {
    /**
     * Append the new membership.
     *
     * @param membership the members after the change
     */
    record Apply(Membership membership) implements MembershipChangePlan {}

    /** Answer at once, since an earlier request already made the change. */
    record Unchanged() implements MembershipChangePlan {}

    /**
     * Refuse the change.
     *
     * @param reason why
     */
    record Refuse(String reason) implements MembershipChangePlan {}

    /**
     * Decides about a change.
     *
     * @param change what was asked for
     * @param present the members now
     * @param caughtUp the members that follow so closely that they may be promoted
     * @param inContact the members that answered within the election timeout
     */
    static MembershipChangePlan of(
            MembershipChange change,
            Membership present,
            Set<MemberIdentifier> caughtUp,
            Set<MemberIdentifier> inContact) {
        return switch (change) {
            case MembershipChange.AddLearner add -> addLearner(add, present);
            case MembershipChange.Promote promote -> promote(promote.member(), present, caughtUp);
            case MembershipChange.Remove remove ->
                    remove(remove.member(), present, present, inContact);
            case MembershipChange.Decommission removal ->
                    remove(
                            removal.member(),
                            present,
                            present.abolishing(removal.member().name()),
                            inContact);
        };
    }

    private static MembershipChangePlan addLearner(
            MembershipChange.AddLearner add, Membership present) {
        if (present.member(add.member()).isPresent()) {
            return new Unchanged();
        }
        Membership changed = present.with(new Member(add.member(), add.address(), false));
        return new Apply(add.established() ? changed.establishing(add.member().name()) : changed);
    }

    private static MembershipChangePlan promote(
            MemberIdentifier member, Membership present, Set<MemberIdentifier> caughtUp) {
        if (present.member(member).isEmpty()) {
            return new Refuse(member + " is not a member; add it as a learner first");
        }
        if (present.isVoter(member)) {
            return new Unchanged();
        }
        if (!caughtUp.contains(member)) {
            return new Refuse(member + " has not caught up yet");
        }
        String address = present.member(member).orElseThrow().address();
        return new Apply(present.with(new Member(member, address, true)));
    }

    private static MembershipChangePlan remove(
            MemberIdentifier member,
            Membership present,
            Membership changed,
            Set<MemberIdentifier> inContact) {
        if (present.member(member).isEmpty()) {
            return new Unchanged();
        }
        Membership remaining = changed.without(member);
        if (remaining.voters().isEmpty()) {
            return new Refuse(member + " is the last voting member");
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
