package org.ibisstand.consensus;

import java.util.List;
import java.util.OptionalLong;

/** Takes over entries and snapshots from the leader of the present term. */
final class Following {
    private final MemberState mState;
    private final SnapshotReceiver mReceiver = new SnapshotReceiver();

    Following(MemberState state) {
        mState = state;
    }

    void receive(MemberIdentifier from, Message.AppendRequest request) {
        if (!matches(request)) {
            reply(from, false, hint(request.previousIndex()), request.round());
            return;
        }
        takeEntries(request.entries());
        long vouched = Math.max(request.lastIndex(), mState.commitIndex());
        mState.commitTo(Math.min(request.commitIndex(), vouched));
        reply(from, true, vouched, request.round());
    }

    void receive(MemberIdentifier from, Message.SnapshotChunk chunk) {
        if (chunk.index() <= mState.commitIndex()) {
            reply(from, true, mState.commitIndex(), 0);
            return;
        }
        int nextOffset = mReceiver.take(chunk);
        if (nextOffset < chunk.totalBytes()) {
            mState.outbox()
                    .promise(
                            from,
                            new Message.SnapshotReply(mState.term(), chunk.index(), nextOffset));
            return;
        }
        mState.install(mReceiver.finish(chunk));
        reply(from, true, chunk.index(), 0);
    }

    /** Committed entries match every later leader, also where they were compacted here. */
    private boolean matches(Message.AppendRequest request) {
        if (request.previousIndex() <= mState.commitIndex()) {
            return true;
        }
        OptionalLong term = mState.log().termAt(request.previousIndex());
        return term.isPresent() && term.getAsLong() == request.previousTerm();
    }

    private void takeEntries(List<Entry> entries) {
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
    private long hint(long previousIndex) {
        long lastIndex = mState.log().lastIndex();
        if (previousIndex > lastIndex) {
            return lastIndex;
        }
        long first = mState.log().firstIndexOfTermAt(previousIndex);
        return Math.max(mState.commitIndex(), first - 1);
    }

    private void reply(MemberIdentifier to, boolean accepted, long index, long round) {
        mState.outbox().promise(to, new Message.AppendReply(mState.term(), accepted, index, round));
    }
}
