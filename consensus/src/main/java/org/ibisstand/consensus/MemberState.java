package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ibisstand.storage.Recovered;
import org.ibisstand.storage.TermAndVote;

/** State shared by all parts of a member: term, vote, log, commit index and role. */
final class MemberState {
    private final MemberIdentifier mSelf;
    private final Timing mTiming;
    private final Limits mLimits;
    private final SafetyRules mRules;
    private final RandomGenerator mRandom;
    private final EntryLog mLog = new EntryLog();
    private final Outbox mOutbox;
    private TermAndVote mTermAndVote;
    private long mCommitIndex;
    private Role mRole;
    private Instant mNow;
    private Instant mElectionDeadline;
    private boolean mStatusChanged;

    MemberState(
            MemberIdentifier self,
            Recovered recovered,
            Timing timing,
            Limits limits,
            SafetyRules rules,
            RandomGenerator random,
            Instant now) {
        mSelf = self;
        mTiming = timing;
        mLimits = limits;
        mRules = rules;
        mRandom = random;
        mOutbox = new Outbox(self, rules);
        mTermAndVote = recovered.termAndVote();
        recovered.snapshot().map(ContentCodec::fromStored).ifPresent(this::recover);
        recovered.records().stream().map(ContentCodec::fromRecord).forEach(mLog::append);
        mNow = now;
        mRole = new Role.Follower(Optional.empty(), Instant.MIN);
        postponeElection();
    }

    MemberIdentifier self() {
        return mSelf;
    }

    Limits limits() {
        return mLimits;
    }

    Timing timing() {
        return mTiming;
    }

    SafetyRules rules() {
        return mRules;
    }

    EntryLog log() {
        return mLog;
    }

    Outbox outbox() {
        return mOutbox;
    }

    Role role() {
        return mRole;
    }

    long term() {
        return mTermAndVote.term();
    }

    String vote() {
        return mTermAndVote.vote();
    }

    long commitIndex() {
        return mCommitIndex;
    }

    Instant now() {
        return mNow;
    }

    void advanceTo(Instant now) {
        mNow = now.isAfter(mNow) ? now : mNow;
    }

    boolean isElectionDue() {
        return !mNow.isBefore(mElectionDeadline);
    }

    void postponeElection() {
        mElectionDeadline = mTiming.electionDeadline(mNow, mRandom);
    }

    /** Returns the leader of the present term, if known. */
    Optional<MemberIdentifier> leader() {
        return switch (mRole) {
            case Role.Follower follower -> follower.leader();
            case Role.Candidate candidate -> Optional.empty();
            case Role.Leader leader -> Optional.of(mSelf);
        };
    }

    /** Returns whether a leader was active so recently that an election would only disrupt it. */
    boolean hasRecentLeader() {
        return switch (mRole) {
            case Role.Follower follower ->
                    follower.leader().isPresent() && isRecent(follower.lastContact());
            case Role.Candidate candidate -> false;
            case Role.Leader leader -> true;
        };
    }

    void setRole(Role role) {
        Optional<MemberIdentifier> before = leader();
        if (mRole instanceof Role.Leader old) {
            old.leadership().end(role);
        }
        mRole = role;
        mStatusChanged |= !before.equals(leader());
    }

    /** Follows a leader, or none yet, in the given term, which is never lower than the present. */
    void follow(long term, Optional<MemberIdentifier> leader) {
        if (term > term()) {
            saveTerm(term, "");
        }
        setRole(new Role.Follower(leader, mNow));
    }

    void saveTerm(long term, String vote) {
        mTermAndVote = new TermAndVote(term, vote);
        mOutbox.save(mTermAndVote);
        mStatusChanged = true;
    }

    void append(Entry entry) {
        mLog.append(entry);
        mOutbox.append(entry);
        mStatusChanged |= entry.content() instanceof EntryContent.MembershipEntry;
    }

    void truncateFrom(long index) {
        if (index <= mCommitIndex) {
            throw new IllegalStateException(
                    "entry " + index + " is committed and cannot be truncated");
        }
        mLog.truncateFrom(index);
        mOutbox.truncateFrom(index);
        mStatusChanged = true;
    }

    /** Applies all entries up to an index that are not applied yet. */
    void commitTo(long index) {
        while (mCommitIndex < index) {
            mCommitIndex++;
            Entry entry = mLog.entry(mCommitIndex);
            mOutbox.add(new Output.Apply(entry, ticketOf(mCommitIndex)));
        }
    }

    void compact(long index, byte[] encoded) {
        boolean isNewer = mLog.snapshot().map(Snapshot::index).orElse(0L) < index;
        if (isNewer && index <= mCommitIndex) {
            Snapshot snapshot = mLog.compact(index, encoded, mLimits, snapshotInTransfer());
            mOutbox.save(snapshot, true);
        }
    }

    void install(Snapshot snapshot) {
        boolean continues = mLog.install(snapshot);
        mCommitIndex = snapshot.index();
        mOutbox.save(snapshot, continues);
        mOutbox.add(new Output.Restore(snapshot));
        mStatusChanged = true;
    }

    boolean takeStatusChanged() {
        boolean changed = mStatusChanged;
        mStatusChanged = false;
        return changed;
    }

    /** Members that receive a snapshot need the entries after it next. */
    private OptionalLong snapshotInTransfer() {
        return mRole instanceof Role.Leader leader
                ? leader.leadership().oldestSnapshotInTransfer()
                : OptionalLong.empty();
    }

    private OptionalLong ticketOf(long index) {
        return mRole instanceof Role.Leader leader
                ? leader.leadership().takeTicket(index)
                : OptionalLong.empty();
    }

    private void recover(Snapshot snapshot) {
        mLog.install(snapshot);
        mCommitIndex = snapshot.index();
    }

    private boolean isRecent(Instant lastContact) {
        return Duration.between(lastContact, mNow).compareTo(mTiming.electionTimeout()) < 0;
    }
}
