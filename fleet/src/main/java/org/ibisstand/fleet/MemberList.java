package org.ibisstand.fleet;

import java.util.Collection;
import java.util.Set;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.MemberNotice;

/**
 * The members of control as one process knows them; never changes.
 *
 * @param addresses their wire addresses
 * @param term the term of the last entry of the log that the list was taken from
 * @param index the index of that entry; with a newer log the list is at least as new
 */
public record MemberList(Set<String> addresses, long term, long index) {
    /** The list of a process that knows no member. */
    public static final MemberList NONE = new MemberList(Set.of(), 0, 0);

    /** Copies the addresses, so that a list never changes. */
    public MemberList {
        addresses = Set.copyOf(addresses);
    }

    /**
     * Returns the list that is known to one who knew this one and hears of another. A list without
     * members says nothing, and a list from an older log none that is new.
     *
     * @param other what was heard
     */
    public MemberList updatedBy(MemberList other) {
        boolean isNews = !other.addresses.isEmpty() && !isNewerThan(other);
        return isNews ? other : this;
    }

    /** Returns whether this list was taken from a newer log than another one. */
    public boolean isNewerThan(MemberList other) {
        return term > other.term || (term == other.term && index > other.index);
    }

    /** Returns the list that a notice tells of. */
    public static MemberList of(MemberNotice notice) {
        return of(notice.getMembersList(), notice.getTerm(), notice.getIndex());
    }

    /** Returns a notice that tells of this list. */
    public Frame.Builder toFrame() {
        return Frame.newBuilder()
                .setMemberNotice(
                        MemberNotice.newBuilder()
                                .addAllMembers(addresses)
                                .setTerm(term)
                                .setIndex(index));
    }

    static MemberList of(FleetUpdate update) {
        return of(update.getMembersList(), update.getMembersTerm(), update.getMembersIndex());
    }

    private static MemberList of(Collection<String> addresses, long term, long index) {
        return new MemberList(Set.copyOf(addresses), term, index);
    }
}
