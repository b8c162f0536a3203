package org.ibisstand.consensus;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Sends a leader's log to one member: entries, heartbeats, or a snapshot in parts. */
final class Replication {
    private final MemberState mState;
    // The snapshot that was sent last, also once a newer one replaces it in the log.
    private Optional<EncodedSnapshot> mSent = Optional.empty();

    Replication(MemberState state) {
        mState = state;
    }

    /** Sends the entries that the member is missing, within the limits on unacknowledged ones. */
    void sendEntries(MemberIdentifier member, Progress progress, long round) {
        if (isSelf(member) || progress.isProbing() || progress.snapshotIndex() != 0) {
            return;
        }
        while (progress.nextIndex() <= mState.log().lastIndex() && hasRoom(progress)) {
            OptionalLong previousTerm = mState.log().termAt(progress.nextIndex() - 1);
            if (previousTerm.isEmpty()) {
                startSnapshot(member, progress);
                return;
            }
            List<Entry> entries = mState.log().entriesFrom(progress.nextIndex(), mState.limits());
            send(member, progress, previousTerm.getAsLong(), entries, round);
            progress.sent(entries.size());
        }
    }

    /** Checks whether the member's log matches just before the next entry to send. */
    void probe(MemberIdentifier member, Progress progress, long round) {
        heartbeat(member, progress, round);
    }

    /** Sends a heartbeat, whose reply shows whether the member is missing entries. */
    void heartbeat(MemberIdentifier member, Progress progress, long round) {
        if (isSelf(member)) {
            return;
        }
        if (progress.snapshotIndex() != 0) {
            sendSnapshot(member, progress);
            return;
        }
        OptionalLong previousTerm = mState.log().termAt(progress.nextIndex() - 1);
        if (previousTerm.isEmpty()) {
            startSnapshot(member, progress);
        } else {
            send(member, progress, previousTerm.getAsLong(), List.of(), round);
        }
    }

    /**
     * Sends the next part of the snapshot being sent to the member. A newer snapshot does not start
     * the transfer over, which would never end while snapshots are taken faster than one is sent.
     */
    void sendSnapshot(MemberIdentifier member, Progress progress) {
        EncodedSnapshot sent =
                mSent.filter(one -> one.snapshot().index() == progress.snapshotIndex())
                        .orElseGet(() -> newest(progress));
        Snapshot snapshot = sent.snapshot();
        byte[] encoded = sent.bytes();
        int offset = Math.min(progress.snapshotOffset(), encoded.length);
        int end = Math.min(encoded.length, offset + mState.limits().snapshotChunkBytes());
        mState.outbox()
                .sendImmediately(
                        member,
                        new Message.SnapshotChunk(
                                mState.term(),
                                snapshot.index(),
                                snapshot.term(),
                                offset,
                                encoded.length,
                                Arrays.copyOfRange(encoded, offset, end)));
    }

    private void startSnapshot(MemberIdentifier member, Progress progress) {
        newest(progress);
        sendSnapshot(member, progress);
    }

    private void send(
            MemberIdentifier member,
            Progress progress,
            long previousTerm,
            List<Entry> entries,
            long round) {
        mState.outbox()
                .sendImmediately(
                        member,
                        new Message.AppendRequest(
                                mState.term(),
                                progress.nextIndex() - 1,
                                previousTerm,
                                entries,
                                mState.commitIndex(),
                                round));
    }

    private boolean hasRoom(Progress progress) {
        long sentIndex = progress.nextIndex() - 1;
        long unacknowledged = sentIndex - progress.matchIndex();
        long bytes = mState.log().bytesBetween(progress.matchIndex(), sentIndex);
        return unacknowledged < mState.limits().unacknowledgedEntries()
                && bytes < mState.limits().unacknowledgedBytes();
    }

    private boolean isSelf(MemberIdentifier member) {
        return member.equals(mState.self());
    }

    /** Starts a transfer of the newest snapshot. */
    private EncodedSnapshot newest(Progress progress) {
        Snapshot snapshot = mState.log().snapshot().orElseThrow();
        if (mSent.filter(one -> one.snapshot().index() == snapshot.index()).isEmpty()) {
            mSent = Optional.of(new EncodedSnapshot(snapshot, ContentCodec.encode(snapshot)));
        }
        progress.startSnapshot(snapshot.index());
        return mSent.get();
    }

    /** A snapshot as it is sent to members. */
    private record EncodedSnapshot(Snapshot snapshot, byte[] bytes) {}
}
