package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.Membership;
import org.ibisstand.control.message.Introduction;
import org.ibisstand.settings.ControlSettings;

/**
 * Decides when a member with an empty disk may form a new group with the first members in its
 * settings; used on the control thread.
 *
 * <p>The first member by name forms the group once all others have recently reported that their
 * disks are empty too and that they have the same first members. A member that lost its disk
 * therefore never forms a second group, since the others have a log or cannot be reached; it waits
 * to be added.
 */
final class GroupFormation {
    private static final Duration MAXIMUM_INTRODUCTION_AGE = Duration.ofSeconds(2);

    private final ControlSettings mSettings;
    private final Member mSelf;
    private final Map<String, ReceivedIntroduction> mIntroductions = new HashMap<>();

    GroupFormation(ControlSettings settings, MemberIdentifier self, String address) {
        mSettings = settings;
        mSelf = new Member(self, address, true);
    }

    /**
     * Returns the introduction of this member.
     *
     * @param formed whether the member already belongs to a group
     * @param group identifies that group
     */
    Introduction introduction(boolean formed, String group) {
        return Introduction.newBuilder()
                .setName(mSettings.member())
                .setAddress(mSelf.address())
                .setFormed(formed)
                .setGroup(group)
                .addAllFirstMembers(firstMembers())
                .build();
    }

    /** Returns the addresses of the other first members. */
    List<String> otherAddresses() {
        return mSettings.members().stream()
                .filter(member -> !member.member().equals(mSettings.member()))
                .map(member -> member.address().toString())
                .toList();
    }

    void receiveIntroduction(MemberIdentifier member, Introduction introduction, Instant now) {
        mIntroductions.put(
                introduction.getName(), new ReceivedIntroduction(member, introduction, now));
    }

    /** Returns the members to form a group with, if this member may do so now. */
    Optional<Membership> membershipToForm(Instant now) {
        List<String> names = firstMembers();
        if (mSettings.join() || !names.getFirst().equals(mSettings.member())) {
            return Optional.empty();
        }
        List<Member> members = new ArrayList<>(List.of(mSelf));
        for (String name : names.subList(1, names.size())) {
            Optional<ReceivedIntroduction> received =
                    Optional.ofNullable(mIntroductions.get(name))
                            .filter(candidate -> isRecentAndAgrees(candidate, now));
            if (received.isEmpty()) {
                return Optional.empty();
            }
            members.add(received.get().toVoter());
        }
        // The identity of a data folder is drawn at random, and a folder forms a group only once.
        return Optional.of(Membership.form(members, mSelf.identifier().value()));
    }

    private boolean isRecentAndAgrees(ReceivedIntroduction received, Instant now) {
        return !received.introduction().getFormed()
                && received.introduction().getFirstMembersList().equals(firstMembers())
                && Duration.between(received.receivedAt(), now).compareTo(MAXIMUM_INTRODUCTION_AGE)
                        < 0;
    }

    private List<String> firstMembers() {
        return mSettings.members().stream().map(ControlSettings.Member::member).sorted().toList();
    }

    /** The introduction of another member, and when it was received. */
    private record ReceivedIntroduction(
            MemberIdentifier member, Introduction introduction, Instant receivedAt) {
        Member toVoter() {
            return new Member(member, introduction.getAddress(), true);
        }
    }
}
