package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.ibisstand.base.ErrorCode;

/** The leader's state and behavior during its term. */
final class Leadership {
    private final MemberState mState;
    private final Map<MemberIdentifier, Progress> mProgress = new TreeMap<>();
    private final Map<Long, Long> mTickets = new TreeMap<>();
    private final PendingReads mReads;
    private final Replication mReplication;
    private long mTermStartIndex;
    private Instant mNextHeartbeat = Instant.MIN;

    Leadership(MemberState state) {
        mState = state;
        mReads = new PendingReads(state);
        mReplication = new Replication(state);
    }

    /**
     * Appends an entry of the new term, which also commits the remaining entries of earlier
     * leaders.
     */
    void begin() {
        updateMembers();
        mTermStartIndex = mState.log().lastIndex() + 1;
        append(List.of(new EntryContent.NoOperation()));
        heartbeat();
    }

    /** Fails all pending requests, since the member is no longer the leader. */
    void end(Role next) {
        Optional<Member> nextLeader =
                next instanceof Role.Follower follower
                        ? follower.leader().flatMap(mState.log().membership()::member)
                        : Optional.empty();
        for (long ticket : mTickets.values()) {
            mState.outbox()
                    .add(
                            new Output.Refused(
                                    ticket,
                                    ErrorCode.OUTCOME_UNKNOWN,
                                    "the leader changed before the command was committed",
                                    nextLeader));
        }
        mReads.refuseAll(nextLeader);
    }

    void propose(List<Proposal> proposals) {
        long index = mState.log().lastIndex();
        for (Proposal proposal : proposals) {
            index++;
            mTickets.put(index, proposal.ticket());
        }
        append(
                proposals.stream()
                        .<EntryContent>map(proposal -> new EntryContent.Command(proposal.command()))
                        .toList());
    }

    void confirmRead(long ticket) {
        mReads.add(ticket);
        startReads();
    }

    void changeMembership(long ticket, MembershipChange change) {
        boolean pending = mState.log().membershipIndex() > mState.commitIndex();
        if (!mState.rules().mayChangeMembership(hasCommittedInTerm(), pending)) {
            refuseChange(ticket, "an earlier change is not committed yet");
            return;
        }
        MembershipChangePlan plan =
                MembershipChangePlan.of(
                        change, mState.log().membership(), membersCaughtUp(), membersInContact());
        switch (plan) {
            case MembershipChangePlan.Apply apply -> {
                mTickets.put(mState.log().lastIndex() + 1, ticket);
                append(List.of(new EntryContent.MembershipEntry(apply.membership())));
            }
            case MembershipChangePlan.Unchanged unchanged ->
                    mState.outbox().add(new Output.AlreadyChanged(ticket));
            case MembershipChangePlan.Refuse refuse -> refuseChange(ticket, refuse.reason());
        }
    }

    /**
     * Sends heartbeats, and steps down when no majority has answered within the election timeout.
     */
    void tick() {
        if (!hasContactWithMajority()) {
            mState.follow(mState.term(), Optional.empty());
            mState.postponeElection();
            return;
        }
        if (!mState.now().isBefore(mNextHeartbeat)) {
            heartbeat();
        }
    }

    void receive(MemberIdentifier from, Message.AppendReply reply) {
        Progress progress = mProgress.get(from);
        if (progress == null) {
            return;
        }
        progress.contacted(mState.now(), reply.round());
        if (reply.accepted()) {
            progress.accepted(reply.index());
            advanceCommit();
            progress.measure(mState.log().lastIndex(), mState.now());
        } else {
            progress.refused(reply.index());
            mReplication.probe(from, progress, mReads.round());
        }
        if (mState.role() instanceof Role.Leader) {
            mReplication.sendEntries(from, progress, mReads.round());
            mReads.answer(mProgress);
        }
    }

    void receive(MemberIdentifier from, Message.SnapshotReply reply) {
        Progress progress = mProgress.get(from);
        if (progress == null) {
            return;
        }
        progress.contacted(mState.now(), 0);
        boolean offsetChanged = reply.nextOffset() != progress.snapshotOffset();
        if (reply.index() == progress.snapshotIndex() && offsetChanged) {
            progress.snapshotReceived(reply.nextOffset());
            mReplication.sendSnapshot(from, progress);
        }
    }

    /** Removes and returns the ticket of the request that proposed an entry. */
    OptionalLong takeTicket(long index) {
        Long ticket = mTickets.remove(index);
        return ticket == null ? OptionalLong.empty() : OptionalLong.of(ticket);
    }

    /**
     * Returns the members that follow closely enough to get a vote: until they hold the entries
     * that wait for them, the group commits no later than after an election.
     */
    Set<MemberIdentifier> membersCaughtUp() {
        Duration limit = mState.timing().longestElectionTimeout();
        return mProgress.entrySet().stream()
                .filter(
                        entry ->
                                entry.getValue()
                                        .hasCaughtUp(mState.commitIndex(), limit, mState.now()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the oldest snapshot that is being sent to a member, if any is. */
    OptionalLong oldestSnapshotInTransfer() {
        return mProgress.values().stream()
                .mapToLong(Progress::snapshotIndex)
                .filter(index -> index != 0)
                .min();
    }

    /** Returns for each other member how long it has not answered. */
    Map<MemberIdentifier, Duration> silences() {
        Map<MemberIdentifier, Duration> silences = new HashMap<>();
        mProgress.keySet().stream()
                .filter(member -> !member.equals(mState.self()))
                .forEach(member -> silences.put(member, silence(member)));
        return Map.copyOf(silences);
    }

    private void append(List<EntryContent> contents) {
        for (EntryContent content : contents) {
            long index = mState.log().lastIndex() + 1;
            mState.append(new Entry(index, mState.term(), content));
        }
        updateMembers();
        mState.outbox()
                .sendWhenDurable(
                        mState.self(),
                        new Message.AppendReply(mState.term(), true, mState.log().lastIndex(), 0));
        mProgress.forEach(
                (member, progress) -> mReplication.sendEntries(member, progress, mReads.round()));
    }

    private void updateMembers() {
        Set<MemberIdentifier> members = mState.log().membership().members().keySet();
        mProgress.keySet().removeIf(member -> !members.contains(member));
        for (MemberIdentifier member : members) {
            mProgress.computeIfAbsent(
                    member, unused -> new Progress(mState.log().lastIndex(), mState.now()));
        }
    }

    private void startReads() {
        if (mReads.start(hasCommittedInTerm())) {
            heartbeat();
            mReads.answer(mProgress);
        }
    }

    private void heartbeat() {
        mNextHeartbeat = mState.now().plus(mState.timing().heartbeat());
        mProgress.forEach(
                (member, progress) -> mReplication.heartbeat(member, progress, mReads.round()));
    }

    private void advanceCommit() {
        long index = majorityIndex();
        if (index <= mState.commitIndex()) {
            return;
        }
        long entryTerm = mState.log().termAt(index).orElseThrow();
        if (!mState.rules().mayCommit(entryTerm, mState.term())) {
            return;
        }
        mState.commitTo(index);
        startReads();
        if (!mState.log().membership().isVoter(mState.self()) && !isChangePending()) {
            heartbeat();
            mState.follow(mState.term(), Optional.empty());
        }
    }

    /** Returns the last entry that is durable at a majority. */
    private long majorityIndex() {
        List<Long> indexes =
                electorate().stream()
                        .map(member -> mProgress.get(member).matchIndex())
                        .sorted()
                        .toList();
        return indexes.get((indexes.size() - 1) / 2);
    }

    private boolean hasContactWithMajority() {
        Set<MemberIdentifier> voters = new HashSet<>(membersInContact());
        voters.retainAll(electorate());
        return voters.size() > electorate().size() / 2;
    }

    private Set<MemberIdentifier> membersInContact() {
        Duration contactTimeout = mState.timing().electionTimeout();
        return mProgress.keySet().stream()
                .filter(member -> isInContact(member, contactTimeout))
                .collect(Collectors.toUnmodifiableSet());
    }

    private boolean isInContact(MemberIdentifier member, Duration contactTimeout) {
        return member.equals(mState.self()) || silence(member).compareTo(contactTimeout) <= 0;
    }

    private Duration silence(MemberIdentifier member) {
        return Duration.between(mProgress.get(member).lastContact(), mState.now());
    }

    private boolean hasCommittedInTerm() {
        return mState.commitIndex() >= mTermStartIndex;
    }

    private boolean isChangePending() {
        return mState.log().membershipIndex() > mState.commitIndex();
    }

    private Set<MemberIdentifier> electorate() {
        return mState.rules().electorate(mState.log().membership());
    }

    private void refuseChange(long ticket, String reason) {
        mState.outbox()
                .add(
                        new Output.Refused(
                                ticket, ErrorCode.MEMBERSHIP_CONFLICT, reason, Optional.empty()));
    }
}
