package org.ibisstand.consensus;

import java.util.Collection;
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
 * @param established the names of the members that the group was set up with: those of the first
 *     start and those that operators added. A member that replaces another one by itself is not
 *     among them, so their number tells how many losses the group is meant to tolerate. Empty if an
 *     earlier release formed the group
 */
public record Membership(
        SortedMap<MemberIdentifier, Member> members, String group, SortedSet<String> established) {
    /** The largest number of voters that a group keeps. */
    public static final int MAXIMUM_VOTERS = 7;

    /** The membership of a member that belongs to no cluster yet. */
    public static final Membership EMPTY = of(List.of(), "", List.of());

    /** Copies the members, so that a membership never changes. */
    public Membership {
        members = Collections.unmodifiableSortedMap(new TreeMap<>(members));
        established = Collections.unmodifiableSortedSet(new TreeSet<>(established));
    }

    /**
     * Returns the membership of a group that is set up with the given members.
     *
     * @param members in any order
     * @param group identifies the group, and no other one
     */
    public static Membership form(List<Member> members, String group) {
        return of(members, group, members.stream().map(one -> one.identifier().name()).toList());
    }

    /**
     * Returns a membership of the given members.
     *
     * @param members in any order
     * @param group identifies the group, and no other one
     * @param established the names of the members that the group was set up with
     */
    public static Membership of(
            List<Member> members, String group, Collection<String> established) {
        SortedMap<MemberIdentifier, Member> sorted = new TreeMap<>();
        members.forEach(member -> sorted.put(member.identifier(), member));
        return new Membership(sorted, group, new TreeSet<>(established));
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
        return new Membership(changed, group, established);
    }

    /**
     * Returns a membership without the given member.
     *
     * @param identifier the member to leave out
     */
    public Membership without(MemberIdentifier identifier) {
        SortedMap<MemberIdentifier, Member> changed = new TreeMap<>(members);
        changed.remove(identifier);
        return new Membership(changed, group, established);
    }

    /**
     * Returns a membership that is meant to have a member of the given name, or one of its
     * successors.
     *
     * @param name the name to add to those that the group was set up with
     */
    public Membership establishing(String name) {
        SortedSet<String> changed = new TreeSet<>(established);
        // The size of a group of an earlier release follows its voters.
        return established.isEmpty() || !changed.add(name)
                ? this
                : new Membership(members, group, changed);
    }

    /**
     * Returns a membership that is not meant to have a member of the given name any more.
     *
     * @param name the name to remove from those that the group was set up with
     */
    public Membership abolishing(String name) {
        SortedSet<String> changed = new TreeSet<>(established);
        return changed.size() > 1 && changed.remove(name)
                ? new Membership(members, group, changed)
                : this;
    }

    /**
     * Returns the fewest voters that tolerate as many lost disks as the group was set up for. With
     * {@code 2 * losses + 1} voters or more, a majority remains after that many losses; with fewer
     * it may not.
     */
    public int minimumVoters() {
        int size = established.isEmpty() ? voters().size() : established.size();
        int toleratedLosses = (Math.min(size, MAXIMUM_VOTERS) - 1) / 2;
        return 2 * toleratedLosses + 1;
    }
}
