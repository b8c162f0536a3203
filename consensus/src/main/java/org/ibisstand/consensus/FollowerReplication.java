package org.ibisstand.consensus;

import java.util.List;
import java.util.OptionalLong;

/** Receives entries and snapshots from the leader of the current term. */
final class FollowerReplication {
    private final MemberState mState;
    private final SnapshotReceiver mReceiver = new SnapshotReceiver();

    FollowerReplication(MemberState state) {
        mState = state;
    }

    void receive(MemberIdentifier from, Message.AppendRequest request) {
        if (!matches(request)) {
            reply(from, false, nextProbeIndex(request.previousIndex()), request.round());
            return;
        }
        appendEntries(request.entries());
        long matchIndex = Math.max(request.lastIndex(), mState.commitIndex());
        mState.commitTo(Math.min(request.commitIndex(), matchIndex));
        reply(from, true, matchIndex, request.round());
    }

    void receive(MemberIdentifier from, Message.SnapshotChunk chunk) {
        if (chunk.index() <= mState.commitIndex()) {
            reply(from, true, mState.commitIndex(), 0);
            return;
        }
        int nextOffset = mReceiver.addChunk(chunk);
        if (nextOffset < chunk.totalBytes()) {
            mState.outbox()
                    .sendWhenDurable(
                            from,
                            new Message.SnapshotReply(mState.term(), chunk.index(), nextOffset));
            return;
        }
        mState.install(mReceiver.finish(chunk));
        reply(from, true, chunk.index(), 0);
    }

    /** Committed entries match the log of every later leader, even if they were compacted here. */
    private boolean matches(Message.AppendRequest request) {
        if (request.previousIndex() <= mState.commitIndex()) {
            return true;
        }
        OptionalLong term = mState.log().termAt(request.previousIndex());
        return term.isPresent() && term.getAsLong() == request.previousTerm();
    }

    private void appendEntries(List<Entry> entries) {
        for (Entry entry : entries) {
            if (entry.index() <= mState.commitIndex()) {
                continue;
            }
            OptionalLong term = mState.log().termAt(entry.index());
            if (term.isPresent() && term.getAsLong() != entry.term()) {
                mState.truncateFrom(entry.index());
                term = OptionalLong.empty();
            }
            if (term.isEmpty()) {
                mState.append(entry);
            }
        }
    }

    /** Returns the last index at which this log may still match the leader's. */
    private long nextProbeIndex(long previousIndex) {
        long lastIndex = mState.log().lastIndex();
        if (previousIndex > lastIndex) {
            return lastIndex;
        }
        long first = mState.log().firstIndexOfTermAt(previousIndex);
        return Math.max(mState.commitIndex(), first - 1);
    }

    private void reply(MemberIdentifier to, boolean accepted, long index, long round) {
        mState.outbox()
                .sendWhenDurable(
                        to, new Message.AppendReply(mState.term(), accepted, index, round));
    }
}
