package org.ibisstand.consensus;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.ErrorCode;

/** Reads that wait for a majority to confirm that the leader still leads. */
final class PendingReads {
    private final MemberState mState;
    private final List<Long> mWaitingTickets = new ArrayList<>();
    private final List<StartedRead> mStartedReads = new ArrayList<>();
    private long mRound;

    PendingReads(MemberState state) {
        mState = state;
    }

    /** Returns the newest round, which every message of the leader carries. */
    long round() {
        return mRound;
    }

    void add(long ticket) {
        mWaitingTickets.add(ticket);
    }

    /**
     * Begins a new round for all waiting reads.
     *
     * @return whether there was any, so that a heartbeat is due
     */
    boolean start(boolean committedInTerm) {
        if (mWaitingTickets.isEmpty() || !mState.rules().mayStartRead(committedInTerm)) {
            return false;
        }
        mRound++;
        for (long ticket : mWaitingTickets) {
            mStartedReads.add(new StartedRead(ticket, mState.commitIndex(), mRound));
        }
        mWaitingTickets.clear();
        return true;
    }

    /** Answers the reads that a majority has confirmed. */
    void answer(Map<MemberIdentifier, Progress> progress) {
        Set<MemberIdentifier> electorate = mState.rules().electorate(mState.log().membership());
        Iterator<StartedRead> reads = mStartedReads.iterator();
        while (reads.hasNext()) {
            StartedRead read = reads.next();
            int confirmations =
                    (int)
                            electorate.stream()
                                    .filter(member -> confirms(member, progress, read.round()))
                                    .count();
            if (!mState.rules().mayAnswerRead(confirmations, electorate.size())) {
                return;
            }
            mState.outbox().add(new Output.ReadConfirmed(read.ticket(), read.index()));
            reads.remove();
        }
    }

    void refuseAll(Optional<Member> leader) {
        mStartedReads.forEach(read -> refuse(read.ticket(), leader));
        mWaitingTickets.forEach(ticket -> refuse(ticket, leader));
    }

    private boolean confirms(
            MemberIdentifier member, Map<MemberIdentifier, Progress> progress, long round) {
        return member.equals(mState.self()) || progress.get(member).round() >= round;
    }

    private void refuse(long ticket, Optional<Member> leader) {
        mState.outbox()
                .add(
                        new Output.Refused(
                                ticket,
                                ErrorCode.NOT_LEADER,
                                "this member is no longer the leader",
                                leader));
    }

    /**
     * A read whose round was sent.
     *
     * @param ticket the read
     * @param index the commit index when it arrived
     * @param round the round that must be confirmed
     */
    private record StartedRead(long ticket, long index, long round) {}
}
