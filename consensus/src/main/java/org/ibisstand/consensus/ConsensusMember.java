package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.storage.Recovered;

/**
 * One member of a Raft replicated log, with pre-votes, a leader that steps down without a majority,
 * reads confirmed by a majority, and learners.
 *
 * <p>It does no input or output and reads no clock: each step takes one input and returns what is
 * to be done. A member recovers by being created anew from what its storage held.
 */
public final class ConsensusMember {
    private final MemberState mState;
    private final Elections mElections;
    private final FollowerReplication mFollowerReplication;

    private ConsensusMember(MemberState state) {
        mState = state;
        mElections = new Elections(state);
        mFollowerReplication = new FollowerReplication(state);
    }

    /**
     * Creates a member from what its storage held.
     *
     * @param self the member and its disk
     * @param recovered the content of its storage
     * @param timing the intervals of elections and heartbeats
     * @param limits bounds on messages and memory
     * @param random spreads the elections of several members
     * @param now the present time
     */
    public static ConsensusMember recover(
            MemberIdentifier self,
            Recovered recovered,
            Timing timing,
            Limits limits,
            RandomGenerator random,
            Instant now) {
        return recover(self, recovered, timing, limits, new SafetyRules(), random, now);
    }

    static ConsensusMember recover(
            MemberIdentifier self,
            Recovered recovered,
            Timing timing,
            Limits limits,
            SafetyRules rules,
            RandomGenerator random,
            Instant now) {
        return new ConsensusMember(
                new MemberState(self, recovered, timing, limits, rules, random, now));
    }

    /**
     * Takes one input.
     *
     * @param input what happened
     * @param now the present time
     * @return what is to be done, in order
     */
    public List<Output> step(Input input, Instant now) {
        mState.advanceTo(now);
        dispatch(input);
        flushOutbox();
        if (mState.takeStatusChanged()) {
            mState.outbox().add(new Output.StatusChanged(status()));
        }
        return mState.outbox().takeOutputs();
    }

    /** Returns the newest snapshot, whose state a restarted driver begins with. */
    public Optional<Snapshot> snapshot() {
        return mState.log().snapshot();
    }

    /** Returns what the member knows about itself and its cluster. */
    public MemberStatus status() {
        Set<MemberIdentifier> caughtUp = Set.of();
        Map<MemberIdentifier, Duration> silences = Map.of();
        if (mState.role() instanceof Role.Leader leader) {
            caughtUp = leader.leadership().membersCaughtUp();
            silences = leader.leadership().silences();
        }
        return new MemberStatus(
                mState.self(),
                mState.role() instanceof Role.Leader,
                mState.term(),
                mState.leader(),
                mState.log().membership(),
                mState.commitIndex(),
                mState.log().lastIndex(),
                mState.log().lastTerm(),
                mState.log().snapshot().map(Snapshot::index).orElse(0L),
                caughtUp,
                silences);
    }

    private void dispatch(Input input) {
        switch (input) {
            case Input.Tick tick -> tick();
            case Input.Receive receive -> receive(receive.from(), receive.message());
            case Input.Propose propose -> propose(propose.proposals());
            case Input.ConfirmRead read -> confirmRead(read.ticket());
            case Input.ChangeMembership change -> changeMembership(change);
            case Input.Persisted persisted -> mState.outbox().persisted(persisted.sequence());
            case Input.Compact compact -> mState.compact(compact.index(), compact.state());
            case Input.Form form -> form(form);
        }
    }

    private void flushOutbox() {
        mState.outbox().flush();
        Optional<Message> toSelf = mState.outbox().takeToSelf();
        while (toSelf.isPresent()) {
            receive(mState.self(), toSelf.get());
            mState.outbox().flush();
            toSelf = mState.outbox().takeToSelf();
        }
    }

    private void tick() {
        if (mState.role() instanceof Role.Leader leader) {
            leader.leadership().tick();
        } else {
            mElections.tick();
        }
    }

    private void receive(MemberIdentifier from, Message message) {
        if (isDisruptiveVoteRequest(message)) {
            return;
        }
        if (message.term() > mState.term() && raisesTerm(message)) {
            mState.follow(message.term(), Optional.empty());
        }
        if (message.term() < mState.term() && !isPreVoteGrant(message)) {
            rejectStale(from, message);
            return;
        }
        switch (message) {
            case Message.VoteRequest request -> mElections.receive(from, request);
            case Message.VoteReply reply -> mElections.receive(from, reply);
            case Message.AppendRequest request -> {
                followLeader(from);
                mFollowerReplication.receive(from, request);
            }
            case Message.SnapshotChunk chunk -> {
                followLeader(from);
                mFollowerReplication.receive(from, chunk);
            }
            case Message.AppendReply reply -> receiveReply(from, reply);
            case Message.SnapshotReply reply -> receiveReply(from, reply);
        }
    }

    /** A removed or partitioned member must not depose a leader that other members can reach. */
    private boolean isDisruptiveVoteRequest(Message message) {
        return message instanceof Message.VoteRequest request
                && !request.preliminary()
                && request.term() > mState.term()
                && mState.hasRecentLeader();
    }

    private static boolean raisesTerm(Message message) {
        return !(message instanceof Message.VoteRequest request && request.preliminary());
    }

    /** A member at an older term may still grant a pre-vote for the next term. */
    private static boolean isPreVoteGrant(Message message) {
        return message instanceof Message.VoteReply reply && reply.preliminary() && reply.granted();
    }

    /** Replies with the newer term to a stale sender, so that an old leader steps down. */
    private void rejectStale(MemberIdentifier from, Message message) {
        switch (message) {
            case Message.VoteRequest request ->
                    mState.outbox()
                            .sendWhenDurable(
                                    from,
                                    new Message.VoteReply(
                                            mState.term(),
                                            request.term(),
                                            false,
                                            request.preliminary()));
            case Message.AppendRequest request -> rejectStaleLeader(from);
            case Message.SnapshotChunk chunk -> rejectStaleLeader(from);
            case Message.VoteReply reply -> {}
            case Message.AppendReply reply -> {}
            case Message.SnapshotReply reply -> {}
        }
    }

    private void rejectStaleLeader(MemberIdentifier from) {
        mState.outbox().sendWhenDurable(from, new Message.AppendReply(mState.term(), false, 0, 0));
    }

    private void followLeader(MemberIdentifier leader) {
        if (mState.role() instanceof Role.Leader) {
            throw new IllegalStateException("two leaders in term " + mState.term());
        }
        mState.follow(mState.term(), Optional.of(leader));
        mState.postponeElection();
    }

    private void receiveReply(MemberIdentifier from, Message message) {
        if (!(mState.role() instanceof Role.Leader leader)) {
            return;
        }
        switch (message) {
            case Message.AppendReply reply -> leader.leadership().receive(from, reply);
            case Message.SnapshotReply reply -> leader.leadership().receive(from, reply);
            default -> throw new IllegalArgumentException("not a reply message: " + message);
        }
    }

    private void propose(List<Proposal> proposals) {
        if (mState.role() instanceof Role.Leader leader) {
            leader.leadership().propose(proposals);
        } else {
            proposals.forEach(proposal -> refuse(proposal.ticket()));
        }
    }

    private void confirmRead(long ticket) {
        if (mState.role() instanceof Role.Leader leader) {
            leader.leadership().confirmRead(ticket);
        } else {
            refuse(ticket);
        }
    }

    private void changeMembership(Input.ChangeMembership change) {
        if (mState.role() instanceof Role.Leader leader) {
            leader.leadership().changeMembership(change.ticket(), change.change());
        } else {
            refuse(change.ticket());
        }
    }

    private void form(Input.Form form) {
        if (mState.log().lastIndex() != 0) {
            throw new IllegalStateException("the member already belongs to a cluster");
        }
        if (mState.term() == 0) {
            mState.saveTerm(1, "");
        }
        mState.install(new Snapshot(1, 1, form.membership(), form.state()));
    }

    private void refuse(long ticket) {
        Optional<Member> leader = mState.leader().flatMap(mState.log().membership()::member);
        mState.outbox()
                .add(
                        new Output.Refused(
                                ticket,
                                ErrorCode.NOT_LEADER,
                                "this member is not the leader",
                                leader));
    }
}
