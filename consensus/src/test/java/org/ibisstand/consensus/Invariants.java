package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.Recovered;

/** Checks the Raft safety properties after each output of each member. */
final class Invariants {
    private final Map<Long, MemberIdentifier> mLeadersByTerm = new HashMap<>();
    private final Map<IndexAndTerm, Predecessor> mPredecessors = new HashMap<>();
    private final NavigableMap<Long, Committed> mCommittedByIndex = new TreeMap<>();
    private final Map<MemberIdentifier, NavigableMap<Long, Long>> mLogTermsByMember =
            new HashMap<>();
    private final Map<Long, Long> mAcknowledgedIndexAtRead = new HashMap<>();
    private long mAcknowledgedIndex = 1;
    private int mConfirmedReads;

    void memberStarted(MemberIdentifier member, Recovered recovered) {
        NavigableMap<Long, Long> terms = new TreeMap<>();
        terms.put(0L, 0L);
        recovered.snapshot().ifPresent(snapshot -> terms.put(snapshot.index(), snapshot.term()));
        recovered.records().forEach(record -> terms.put(record.index(), record.term()));
        mLogTermsByMember.put(member, terms);
    }

    void recordPersist(MemberIdentifier member, Output.Persist persist) {
        NavigableMap<Long, Long> terms = mLogTermsByMember.get(member);
        persist.snapshot()
                .ifPresent(
                        snapshot -> {
                            if (!persist.snapshotContinues()) {
                                terms.clear();
                            }
                            terms.put(snapshot.index(), snapshot.term());
                        });
        persist.truncateFrom().ifPresent(index -> terms.tailMap(index, true).clear());
        for (LogRecord record : persist.records()) {
            Predecessor predecessor =
                    new Predecessor(
                            terms.lastEntry().getValue(), Arrays.hashCode(record.payload()));
            Predecessor knownPredecessor =
                    mPredecessors.putIfAbsent(
                            new IndexAndTerm(record.index(), record.term()), predecessor);
            if (knownPredecessor != null) {
                assertWithMessage("log matching at index %s on %s", record.index(), member)
                        .that(predecessor)
                        .isEqualTo(knownPredecessor);
            }
            terms.put(record.index(), record.term());
        }
    }

    void statusChanged(MemberStatus status) {
        if (!status.leading()) {
            return;
        }
        MemberIdentifier knownLeader = mLeadersByTerm.putIfAbsent(status.term(), status.self());
        if (knownLeader != null) {
            assertWithMessage("election safety in term %s", status.term())
                    .that(status.self())
                    .isEqualTo(knownLeader);
            return;
        }
        NavigableMap<Long, Long> terms = mLogTermsByMember.get(status.self());
        for (Map.Entry<Long, Committed> committed :
                mCommittedByIndex.tailMap(status.snapshotIndex(), true).entrySet()) {
            if (committed.getValue().commitTerm() >= status.term()) {
                continue;
            }
            assertWithMessage(
                            "leader completeness of %s at index %s",
                            status.self(), committed.getKey())
                    .that(terms.get(committed.getKey()))
                    .isEqualTo(committed.getValue().term());
        }
    }

    /** Checks an applied entry; one with a ticket counts as acknowledged to its proposer. */
    void recordApply(SimulatedMember member, Output.Apply apply) {
        Entry entry = apply.entry();
        assertWithMessage("entries applied in index order on %s", member.mIdentifier)
                .that(entry.index())
                .isEqualTo(member.mAppliedIndex + 1);
        member.apply(entry);
        Committed committed = mCommittedByIndex.get(entry.index());
        if (committed == null) {
            long commitTerm = member.mConsensus.status().term();
            mCommittedByIndex.put(
                    entry.index(), new Committed(entry.term(), member.mStateHash, commitTerm));
        } else {
            assertMatchesCommitted(
                    "state machine safety", member, entry.index(), entry.term(), committed);
        }
        if (apply.ticket().isPresent()) {
            mAcknowledgedIndex = Math.max(mAcknowledgedIndex, entry.index());
        }
    }

    void recordRestore(SimulatedMember member, Snapshot snapshot) {
        member.restore(snapshot);
        Committed committed = mCommittedByIndex.get(snapshot.index());
        if (committed != null) {
            assertMatchesCommitted(
                    "snapshot consistency", member, snapshot.index(), snapshot.term(), committed);
        }
    }

    private static void assertMatchesCommitted(
            String property, SimulatedMember member, long index, long term, Committed committed) {
        assertWithMessage("%s of %s at index %s", property, member.mIdentifier, index)
                .that(List.of(term, member.mStateHash))
                .isEqualTo(List.of(committed.term(), committed.stateHash()));
    }

    void readStarted(long ticket) {
        mAcknowledgedIndexAtRead.put(ticket, mAcknowledgedIndex);
    }

    void readConfirmed(Output.ReadConfirmed read) {
        mConfirmedReads++;
        long acknowledgedIndex = mAcknowledgedIndexAtRead.get(read.ticket());
        assertWithMessage("linearizable read index")
                .that(read.index())
                .isAtLeast(acknowledgedIndex);
        mAcknowledgedIndex = Math.max(mAcknowledgedIndex, read.index());
    }

    int confirmedReads() {
        return mConfirmedReads;
    }

    long lastCommittedIndex() {
        return mCommittedByIndex.isEmpty() ? 1 : mCommittedByIndex.lastKey();
    }

    private record IndexAndTerm(long index, long term) {}

    private record Predecessor(long previousTerm, int contentHash) {}

    private record Committed(long term, long stateHash, long commitTerm) {}
}
