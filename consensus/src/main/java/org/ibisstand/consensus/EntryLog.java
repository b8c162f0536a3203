package org.ibisstand.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/** A member's log in memory: the newest snapshot, the entries around and after it. */
final class EntryLog {
    private final List<Entry> mEntries = new ArrayList<>();
    // The size of all commands up to and including each entry, since the member started.
    private final List<Long> mEndOffsets = new ArrayList<>();
    private final NavigableMap<Long, Membership> mMemberships = new TreeMap<>();
    private Optional<Snapshot> mSnapshot = Optional.empty();
    private long mBaseIndex;
    private long mBaseTerm;
    private long mBaseOffset;

    /** Returns the newest snapshot. */
    Optional<Snapshot> snapshot() {
        return mSnapshot;
    }

    /** Returns the index of the last entry, or of the snapshot if none follows it. */
    long lastIndex() {
        return mBaseIndex + mEntries.size();
    }

    /** Returns the term of the last entry. */
    long lastTerm() {
        return mEntries.isEmpty() ? mBaseTerm : mEntries.getLast().term();
    }

    /** Returns the members after the last entry. */
    Membership membership() {
        return mMemberships.isEmpty() ? Membership.EMPTY : mMemberships.lastEntry().getValue();
    }

    /** Returns the members after an entry at or after the snapshot. */
    Membership membershipAt(long index) {
        Map.Entry<Long, Membership> entry = mMemberships.floorEntry(index);
        return entry == null ? Membership.EMPTY : entry.getValue();
    }

    /** Returns the index of the entry that set the current members. */
    long membershipIndex() {
        return mMemberships.isEmpty() ? 0 : mMemberships.lastKey();
    }

    /** Returns the term of an entry; empty if it was compacted or is not in the log yet. */
    OptionalLong termAt(long index) {
        if (index == mBaseIndex) {
            return OptionalLong.of(mBaseTerm);
        }
        if (index < mBaseIndex || index > lastIndex()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(entry(index).term());
    }

    /** Returns an entry that was not compacted. */
    Entry entry(long index) {
        return mEntries.get(Math.toIntExact(index - mBaseIndex - 1));
    }

    /** Returns the entries from an index on, within the limits of one message. */
    List<Entry> entriesFrom(long index, Limits limits) {
        List<Entry> entries = new ArrayList<>();
        int bytes = 0;
        for (long next = index; next <= lastIndex(); next++) {
            Entry entry = entry(next);
            bytes += size(entry);
            entries.add(entry);
            if (entries.size() >= limits.entriesInMessage() || bytes >= limits.bytesInMessage()) {
                break;
            }
        }
        return List.copyOf(entries);
    }

    /** Returns the size of the commands after an index, up to and including another one. */
    long bytesBetween(long index, long lastIndex) {
        return endOffset(lastIndex) - endOffset(index);
    }

    /** Returns the first index of the run of entries that share a term. */
    long firstIndexOfTermAt(long index) {
        long term = entry(index).term();
        long first = index;
        while (first - 1 > mBaseIndex && entry(first - 1).term() == term) {
            first--;
        }
        return first;
    }

    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(entry.index() + " cannot follow " + lastIndex());
        }
        mEndOffsets.add(endOffset(lastIndex()) + size(entry));
        mEntries.add(entry);
        if (entry.content() instanceof EntryContent.MembershipEntry change) {
            mMemberships.put(entry.index(), change.membership());
        }
    }

    void appendAll(Collection<Entry> entries) {
        entries.forEach(this::append);
    }

    void truncateFrom(long index) {
        int kept = Math.toIntExact(index - mBaseIndex - 1);
        mEntries.subList(kept, mEntries.size()).clear();
        mEndOffsets.subList(kept, mEndOffsets.size()).clear();
        mMemberships.tailMap(index, true).clear();
    }

    /**
     * Replaces the entries up to an index by a snapshot, and keeps some of them in memory.
     *
     * @param neededAfter the index after which a member needs the entries, if one does
     */
    Snapshot compact(long index, byte[] state, Limits limits, OptionalLong neededAfter) {
        Membership membership = membershipAt(index);
        long term = termAt(index).orElseThrow();
        Snapshot snapshot = new Snapshot(index, term, membership, state);
        setSnapshot(snapshot);
        dropThrough(lastIndexToDrop(index, limits, neededAfter));
        return snapshot;
    }

    /** Returns the last index whose entry is not kept behind a snapshot. */
    private long lastIndexToDrop(long snapshotIndex, Limits limits, OptionalLong neededAfter) {
        if (neededAfter.isPresent()) {
            long needed = Math.max(mBaseIndex, neededAfter.getAsLong());
            if (bytesBetween(needed, snapshotIndex) <= limits.unacknowledgedBytes()) {
                return Math.min(needed, lastIndexToDrop(snapshotIndex, limits));
            }
        }
        return lastIndexToDrop(snapshotIndex, limits);
    }

    private long lastIndexToDrop(long snapshotIndex, Limits limits) {
        long drop = Math.max(mBaseIndex, snapshotIndex - limits.retainedEntries());
        while (bytesBetween(drop, snapshotIndex) > limits.retainedBytes()) {
            drop++;
        }
        return drop;
    }

    /**
     * Installs a snapshot from another member.
     *
     * @return true if the log matched the snapshot, so that the entries after it are kept
     */
    boolean install(Snapshot snapshot) {
        OptionalLong term = termAt(snapshot.index());
        boolean continues = term.isPresent() && term.getAsLong() == snapshot.term();
        if (continues) {
            dropThrough(snapshot.index());
        } else {
            mEntries.clear();
            mEndOffsets.clear();
            mMemberships.clear();
            mBaseIndex = snapshot.index();
            mBaseTerm = snapshot.term();
        }
        setSnapshot(snapshot);
        return continues;
    }

    private void setSnapshot(Snapshot snapshot) {
        mSnapshot = Optional.of(snapshot);
        mMemberships.headMap(snapshot.index(), true).clear();
        mMemberships.put(snapshot.index(), snapshot.membership());
    }

    private void dropThrough(long index) {
        mBaseTerm = termAt(index).orElseThrow();
        mBaseOffset = endOffset(index);
        int dropped = Math.toIntExact(index - mBaseIndex);
        mEntries.subList(0, dropped).clear();
        mEndOffsets.subList(0, dropped).clear();
        mBaseIndex = index;
    }

    private long endOffset(long index) {
        return index <= mBaseIndex
                ? mBaseOffset
                : mEndOffsets.get(Math.toIntExact(index - mBaseIndex - 1));
    }

    private static int size(Entry entry) {
        return entry.content() instanceof EntryContent.Command command ? command.data().length : 0;
    }
}
