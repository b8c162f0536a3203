package org.ibisstand.consensus;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.StoredSnapshot;
import org.ibisstand.storage.TermAndVote;

/** What a member asks its driver to do, in the order given. */
public sealed interface Output {
    /**
     * Send a message; it may be lost, delayed or repeated.
     *
     * @param to the receiver
     * @param message what to send
     */
    record Send(MemberIdentifier to, Message message) implements Output {}

    /**
     * Write to storage, in order of the numbers, and report {@link Input.Persisted} once durable.
     *
     * @param sequence numbers these outputs without a gap
     * @param termAndVote the new term and vote, if they changed
     * @param snapshot the new snapshot, if any
     * @param snapshotContinues whether the log goes on after the snapshot
     * @param truncateFrom the first record to remove, if any
     * @param records what to append then
     */
    record Persist(
            long sequence,
            Optional<TermAndVote> termAndVote,
            Optional<StoredSnapshot> snapshot,
            boolean snapshotContinues,
            OptionalLong truncateFrom,
            List<LogRecord> records)
            implements Output {
        /**
         * Writes everything; appended records still need a sync.
         *
         * @param store the member's log
         */
        public void writeTo(LogStore store) {
            termAndVote.ifPresent(store::saveTermAndVote);
            snapshot.ifPresent(present -> store.saveSnapshot(present, snapshotContinues));
            truncateFrom.ifPresent(store::truncateFrom);
            store.append(records);
        }

        /** Returns whether the log starts anew after the snapshot. */
        boolean replacesLog() {
            return snapshot.isPresent() && !snapshotContinues;
        }

        /** Returns this output without its changes to the log and the snapshot. */
        Persist withoutLog() {
            return new Persist(
                    sequence,
                    termAndVote,
                    Optional.empty(),
                    false,
                    OptionalLong.empty(),
                    List.of());
        }

        /** Returns this output without the records from an index on. */
        Persist withoutRecordsFrom(long index) {
            return new Persist(
                    sequence,
                    termAndVote,
                    snapshot,
                    snapshotContinues,
                    truncateFrom,
                    records.stream().filter(record -> record.index() < index).toList());
        }
    }

    /**
     * Apply a committed entry to the replicated state.
     *
     * @param entry the entry; only commands change the state
     * @param ticket the request that proposed it here, if any
     */
    record Apply(Entry entry, OptionalLong ticket) implements Output {}

    /**
     * Replace the replicated state with that of a snapshot.
     *
     * @param snapshot the state to take over
     */
    record Restore(Snapshot snapshot) implements Output {}

    /**
     * The state applied so far may answer a read.
     *
     * @param ticket the read
     * @param index the entry that the state includes
     */
    record ReadConfirmed(long ticket, long index) implements Output {}

    /**
     * The requested membership change is already in effect.
     *
     * @param ticket the change
     */
    record AlreadyChanged(long ticket) implements Output {}

    /**
     * A request failed. Under NOT_LEADER and MEMBERSHIP_CONFLICT it had no effect; under
     * OUTCOME_UNKNOWN the command may still be committed.
     *
     * @param ticket the request
     * @param code why it failed
     * @param message details for the reader
     * @param leader the member to send the request to instead, if known
     */
    record Refused(long ticket, ErrorCode code, String message, Optional<Member> leader)
            implements Output {}

    /**
     * The role, the known leader or the membership changed.
     *
     * @param status the new status
     */
    record StatusChanged(MemberStatus status) implements Output {}
}
