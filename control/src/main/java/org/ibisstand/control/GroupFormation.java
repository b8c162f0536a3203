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
 * Decides when a member with an empty disk may found a group with the first members of its
 * settings; used on the control thread.
 *
 * <p>The first by name does so once all others have said just now that their disks are empty too
 * and that they know the same first members. A member that lost its disk therefore never founds a
 * second group: the others have a log, or cannot be asked. It waits to be added.
 */
final class GroupFormation {
    private static final Duration FRESHNESS = Duration.ofSeconds(2);

    private final ControlSettings mSettings;
    private final Member mSelf;
    private final Map<String, Heard> mHeard = new HashMap<>();

    GroupFormation(ControlSettings settings, MemberIdentifier self, String address) {
        mSettings = settings;
        mSelf = new Member(self, address, true);
    }

    /** Returns what this member says about itself. */
    Introduction introduction(boolean formed) {
        return Introduction.newBuilder()
                .setName(mSettings.member())
                .setAddress(mSelf.address())
                .setFormed(formed)
                .addAllFirstMembers(firstMembers())
                .build();
    }

    /** Returns the addresses of the other first members. */
    List<String> addresses() {
        return mSettings.members().stream()
                .filter(member -> !member.member().equals(mSettings.member()))
                .map(member -> member.address().toString())
                .toList();
    }

    void introduced(MemberIdentifier member, Introduction introduction, Instant now) {
        mHeard.put(introduction.getName(), new Heard(member, introduction, now));
    }

    /** Returns the members to found a group with, if this member may do so now. */
    Optional<Membership> membership(Instant now) {
        List<String> names = firstMembers();
        if (mSettings.join() || !names.getFirst().equals(mSettings.member())) {
            return Optional.empty();
        }
        List<Member> members = new ArrayList<>(List.of(mSelf));
        for (String name : names.subList(1, names.size())) {
            Optional<Heard> heard =
                    Optional.ofNullable(mHeard.get(name)).filter(one -> agrees(one, now));
            if (heard.isEmpty()) {
                return Optional.empty();
            }
            members.add(heard.get().asVoter());
        }
        return Optional.of(Membership.of(members));
    }

    private boolean agrees(Heard heard, Instant now) {
        return !heard.introduction().getFormed()
                && heard.introduction().getFirstMembersList().equals(firstMembers())
                && Duration.between(heard.at(), now).compareTo(FRESHNESS) < 0;
    }

    private List<String> firstMembers() {
        return mSettings.members().stream().map(ControlSettings.Member::member).sorted().toList();
    }

    /** What another member said about itself, and when. */
    private record Heard(MemberIdentifier member, Introduction introduction, Instant at) {
        Member asVoter() {
            return new Member(member, introduction.getAddress(), true);
        }
    }
}
