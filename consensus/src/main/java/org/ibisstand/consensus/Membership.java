package org.ibisstand.consensus;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * All members at one point of the log.
 *
 * @param members the members by identifier
 * @param group identifies the group for as long as it exists; empty if an earlier release formed it
 */
public record Membership(SortedMap<MemberIdentifier, Member> members, String group) {
    /** The membership of a member that belongs to no cluster yet. */
    public static final Membership EMPTY = of(List.of(), "");

    /** Copies the members, so that a membership never changes. */
    public Membership {
        members = Collections.unmodifiableSortedMap(new TreeMap<>(members));
    }

    /**
     * Returns a membership of the given members.
     *
     * @param members in any order
     * @param group identifies the group, and no other one
     */
    public static Membership of(List<Member> members, String group) {
        SortedMap<MemberIdentifier, Member> sorted = new TreeMap<>();
        members.forEach(member -> sorted.put(member.identifier(), member));
        return new Membership(sorted, group);
    }

    /**
     * Returns a member if it belongs to this membership.
     *
     * @param identifier the member to find
     */
    public Optional<Member> member(MemberIdentifier identifier) {
        return Optional.ofNullable(members.get(identifier));
    }

    /** Returns the members whose votes and copies count, in order of their identifiers. */
    public Set<MemberIdentifier> voters() {
        SortedSet<MemberIdentifier> voters = new TreeSet<>();
        for (Member member : members.values()) {
            if (member.voting()) {
                voters.add(member.identifier());
            }
        }
        return Collections.unmodifiableSet(voters);
    }

    /**
     * Returns whether a member votes.
     *
     * @param identifier the member to find
     */
    public boolean isVoter(MemberIdentifier identifier) {
        return member(identifier).map(Member::voting).orElse(false);
    }

    /**
     * Returns a membership that has the given member in place of any of the same identifier.
     *
     * @param member the member to add or replace
     */
    public Membership with(Member member) {
        SortedMap<MemberIdentifier, Member> changed = new TreeMap<>(members);
        changed.put(member.identifier(), member);
        return new Membership(changed, group);
    }

    /**
     * Returns a membership without the given member.
     *
     * @param identifier the member to leave out
     */
    public Membership without(MemberIdentifier identifier) {
        SortedMap<MemberIdentifier, Member> changed = new TreeMap<>(members);
        changed.remove(identifier);
        return new Membership(changed, group);
    }
}
