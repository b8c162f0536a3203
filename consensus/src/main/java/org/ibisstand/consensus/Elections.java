package org.ibisstand.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Requests, grants and counts votes. */
final class Elections {
    private final MemberState mState;

    Elections(MemberState state) {
        mState = state;
    }

    /** Starts a pre-vote if the election timeout passed without contact from a leader. */
    void tick() {
        if (mState.role() instanceof Role.Leader || !mState.isElectionDue()) {
            return;
        }
        mState.postponeElection();
        if (mayBeCandidate()) {
            mState.setRole(new Role.Candidate(true));
            requestVotes(mState.term() + 1, true);
        } else {
            mState.follow(mState.term(), Optional.empty());
        }
    }

    void receive(MemberIdentifier from, Message.VoteRequest request) {
        boolean granted =
                request.preliminary() ? wouldGrantVote(request) : grantVote(from, request);
        mState.outbox()
                .sendWhenDurable(
                        from,
                        new Message.VoteReply(
                                mState.term(), request.term(), granted, request.preliminary()));
    }

    void receive(MemberIdentifier from, Message.VoteReply reply) {
        if (!(mState.role() instanceof Role.Candidate candidate)
                || !reply.granted()
                || reply.preliminary() != candidate.preliminary()
                || reply.askedTerm() != requestedTerm(candidate)) {
            return;
        }
        candidate.granted().add(from);
        if (!hasMajority(candidate)) {
            return;
        }
        if (candidate.preliminary()) {
            startElection();
        } else {
            becomeLeader();
        }
    }

    /**
     * A member whose removal is not committed yet still runs for election: its log may be the only
     * one new enough to be elected, and it steps down once the removal is committed.
     */
    private boolean mayBeCandidate() {
        EntryLog log = mState.log();
        return log.membership().isVoter(mState.self())
                || log.membershipAt(mState.commitIndex()).isVoter(mState.self());
    }

    private void startElection() {
        mState.saveTerm(mState.term() + 1, mState.self().value());
        mState.setRole(new Role.Candidate(false));
        mState.postponeElection();
        requestVotes(mState.term(), false);
    }

    private void becomeLeader() {
        Leadership leadership = new Leadership(mState);
        mState.setRole(new Role.Leader(leadership));
        leadership.begin();
    }

    private void requestVotes(long term, boolean preliminary) {
        Message.VoteRequest request =
                new Message.VoteRequest(
                        term, mState.log().lastIndex(), mState.log().lastTerm(), preliminary);
        for (MemberIdentifier member : electorate()) {
            if (!member.equals(mState.self())) {
                mState.outbox().sendWhenDurable(member, request);
            }
        }
        mState.outbox()
                .sendWhenDurable(
                        mState.self(),
                        new Message.VoteReply(mState.term(), term, true, preliminary));
    }

    private long requestedTerm(Role.Candidate candidate) {
        return candidate.preliminary() ? mState.term() + 1 : mState.term();
    }

    private boolean wouldGrantVote(Message.VoteRequest request) {
        return request.term() > mState.term() && !mState.hasRecentLeader() && isUpToDate(request);
    }

    private boolean grantVote(MemberIdentifier from, Message.VoteRequest request) {
        boolean isFree = mState.vote().isEmpty() || mState.vote().equals(from.value());
        if (request.term() != mState.term() || !isFree || !isUpToDate(request)) {
            return false;
        }
        if (mState.vote().isEmpty()) {
            mState.saveTerm(mState.term(), from.value());
        }
        mState.postponeElection();
        return true;
    }

    private boolean isUpToDate(Message.VoteRequest request) {
        return mState.rules()
                .isUpToDate(
                        request.lastTerm(),
                        request.lastIndex(),
                        mState.log().lastTerm(),
                        mState.log().lastIndex());
    }

    private boolean hasMajority(Role.Candidate candidate) {
        Set<MemberIdentifier> counted = new HashSet<>(candidate.granted());
        counted.retainAll(electorate());
        return counted.size() > electorate().size() / 2;
    }

    private Set<MemberIdentifier> electorate() {
        return mState.rules().electorate(mState.log().membership());
    }
}
