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

/** Checks after each output of each member what must hold in every execution. */
final class Invariants {
    private final Map<Long, MemberIdentifier> mLeaders = new HashMap<>();
    private final Map<IndexAndTerm, Predecessor> mRecords = new HashMap<>();
    private final NavigableMap<Long, Committed> mCommitted = new TreeMap<>();
    private final Map<MemberIdentifier, NavigableMap<Long, Long>> mTerms = new HashMap<>();
    private final Map<Long, Long> mAcknowledgedAtRead = new HashMap<>();
    private long mAcknowledgedIndex = 1;
    private int mReads;

    void started(MemberIdentifier member, Recovered recovered) {
        NavigableMap<Long, Long> terms = new TreeMap<>();
        terms.put(0L, 0L);
        recovered.snapshot().ifPresent(snapshot -> terms.put(snapshot.index(), snapshot.term()));
        recovered.records().forEach(record -> terms.put(record.index(), record.term()));
        mTerms.put(member, terms);
    }

    void persisting(MemberIdentifier member, Output.Persist persist) {
        NavigableMap<Long, Long> terms = mTerms.get(member);
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
            Predecessor known =
                    mRecords.putIfAbsent(
                            new IndexAndTerm(record.index(), record.term()), predecessor);
            if (known != null) {
                assertWithMessage("log matching at %s of %s", record.index(), member)
                        .that(predecessor)
                        .isEqualTo(known);
            }
            terms.put(record.index(), record.term());
        }
    }

    void statusChanged(MemberStatus status) {
        if (!status.leading()) {
            return;
        }
        MemberIdentifier known = mLeaders.putIfAbsent(status.term(), status.self());
        if (known != null) {
            assertWithMessage("election safety in term %s", status.term())
                    .that(status.self())
                    .isEqualTo(known);
            return;
        }
        NavigableMap<Long, Long> terms = mTerms.get(status.self());
        for (Map.Entry<Long, Committed> committed :
                mCommitted.tailMap(status.snapshotIndex(), true).entrySet()) {
            if (committed.getValue().commitTerm() >= status.term()) {
                continue;
            }
            assertWithMessage("leader completeness of %s at %s", status.self(), committed.getKey())
                    .that(terms.get(committed.getKey()))
                    .isEqualTo(committed.getValue().term());
        }
    }

    /** Returns whether the entry was acknowledged to its proposer. */
    void applied(SimulatedMember member, Output.Apply apply) {
        Entry entry = apply.entry();
        assertWithMessage("applied in order at %s", member.mIdentifier)
                .that(entry.index())
                .isEqualTo(member.mAppliedIndex + 1);
        member.apply(entry);
        Committed known = mCommitted.get(entry.index());
        if (known == null) {
            long commitTerm = member.mCore.status().term();
            mCommitted.put(
                    entry.index(), new Committed(entry.term(), member.mStateHash, commitTerm));
        } else {
            checkSame("state machine safety", member, entry.index(), entry.term(), known);
        }
        if (apply.ticket().isPresent()) {
            mAcknowledgedIndex = Math.max(mAcknowledgedIndex, entry.index());
        }
    }

    void restored(SimulatedMember member, Snapshot snapshot) {
        member.restore(snapshot);
        Committed known = mCommitted.get(snapshot.index());
        if (known != null) {
            checkSame("snapshot", member, snapshot.index(), snapshot.term(), known);
        }
    }

    private static void checkSame(
            String what, SimulatedMember member, long index, long term, Committed known) {
        assertWithMessage("%s of %s at %s", what, member.mIdentifier, index)
                .that(List.of(term, member.mStateHash))
                .isEqualTo(List.of(known.term(), known.stateHash()));
    }

    void readStarted(long ticket) {
        mAcknowledgedAtRead.put(ticket, mAcknowledgedIndex);
    }

    void readConfirmed(Output.ReadConfirmed read) {
        mReads++;
        long acknowledged = mAcknowledgedAtRead.get(read.ticket());
        assertWithMessage("linearizable read").that(read.index()).isAtLeast(acknowledged);
        mAcknowledgedIndex = Math.max(mAcknowledgedIndex, read.index());
    }

    int reads() {
        return mReads;
    }

    long lastCommitted() {
        return mCommitted.isEmpty() ? 1 : mCommitted.lastKey();
    }

    private record IndexAndTerm(long index, long term) {}

    private record Predecessor(long previousTerm, int contentHash) {}

    private record Committed(long term, long stateHash, long commitTerm) {}
}
