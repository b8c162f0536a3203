package org.ibisstand.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.StoredSnapshot;
import org.ibisstand.storage.TermAndVote;

/**
 * Collects the outputs of one step, and holds back messages until the state they depend on is
 * durable. A message of a member to itself is held back too, so a leader counts its own copy, and a
 * candidate its own vote, only once they are durable.
 */
final class Outbox {
    private final MemberIdentifier mSelf;
    private final SafetyRules mRules;
    private final Deque<HeldSend> mHeldSends = new ArrayDeque<>();
    private final Deque<Message> mToSelf = new ArrayDeque<>();
    private List<Output> mOutputs = new ArrayList<>();
    private List<Output.Send> mNewHeldSends = new ArrayList<>();
    private Optional<TermAndVote> mTermAndVote = Optional.empty();
    private Optional<StoredSnapshot> mSnapshot = Optional.empty();
    private boolean mSnapshotContinues;
    private OptionalLong mTruncateFrom = OptionalLong.empty();
    private List<LogRecord> mRecords = new ArrayList<>();
    private boolean mHasChanges;
    private int mPersistsInStep;
    private long mLastSequence;
    private long mPersistedSequence;

    Outbox(MemberIdentifier self, SafetyRules rules) {
        mSelf = self;
        mRules = rules;
    }

    void add(Output output) {
        mOutputs.add(output);
    }

    /** Sends a message that does not depend on this member's storage. */
    void sendImmediately(MemberIdentifier to, Message message) {
        mOutputs.add(new Output.Send(to, message));
    }

    /** Sends a message once everything that was changed so far is durable. */
    void sendWhenDurable(MemberIdentifier to, Message message) {
        mNewHeldSends.add(new Output.Send(to, message));
    }

    void save(TermAndVote termAndVote) {
        mTermAndVote = Optional.of(termAndVote);
        mHasChanges = true;
    }

    void save(Snapshot snapshot, boolean continues) {
        mSnapshot = Optional.of(ContentCodec.toStored(snapshot));
        mSnapshotContinues = continues;
        mHasChanges = true;
    }

    void truncateFrom(long index) {
        mTruncateFrom = OptionalLong.of(index);
        mHasChanges = true;
    }

    void append(Entry entry) {
        mRecords.add(ContentCodec.toRecord(entry));
        mHasChanges = true;
    }

    void persisted(long sequence) {
        mPersistedSequence = Math.max(mPersistedSequence, sequence);
    }

    /** Outputs the pending changes for storage, and releases the messages that may be sent. */
    void flush() {
        if (mHasChanges) {
            mLastSequence++;
            mOutputs.add(mPersistsInStep, takeChanges());
            mPersistsInStep++;
        }
        mNewHeldSends.forEach(send -> mHeldSends.addLast(new HeldSend(mLastSequence, send)));
        mNewHeldSends = new ArrayList<>();
        Iterator<HeldSend> held = mHeldSends.iterator();
        while (held.hasNext()) {
            HeldSend next = held.next();
            if (mRules.mayRelease(next.send().message(), next.sequence(), mPersistedSequence)) {
                held.remove();
                release(next.send());
            }
        }
    }

    /** Takes the next message of this member to itself. */
    Optional<Message> takeToSelf() {
        return Optional.ofNullable(mToSelf.pollFirst());
    }

    List<Output> takeOutputs() {
        List<Output> outputs = mOutputs;
        mOutputs = new ArrayList<>();
        mPersistsInStep = 0;
        return outputs;
    }

    private void release(Output.Send send) {
        if (send.to().equals(mSelf)) {
            mToSelf.addLast(send.message());
        } else {
            mOutputs.add(send);
        }
    }

    private Output.Persist takeChanges() {
        Output.Persist persist =
                new Output.Persist(
                        mLastSequence,
                        mTermAndVote,
                        mSnapshot,
                        mSnapshotContinues,
                        mTruncateFrom,
                        List.copyOf(mRecords));
        mTermAndVote = Optional.empty();
        mSnapshot = Optional.empty();
        mTruncateFrom = OptionalLong.empty();
        mRecords = new ArrayList<>();
        mHasChanges = false;
        return persist;
    }

    /**
     * A message that waits for storage.
     *
     * @param sequence the write that must be durable first
     * @param send the message
     */
    private record HeldSend(long sequence, Output.Send send) {}
}
