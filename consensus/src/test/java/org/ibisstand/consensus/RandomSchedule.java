package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.consensus.SimulatedCluster.FaultTarget;

/** Runs a cluster under pseudorandom faults; a run is fully determined by its seed. */
final class RandomSchedule {
    private static final long FAULTS_START_MILLIS = 1_000;
    private static final long FAULTS_END_MILLIS = FAULTS_START_MILLIS + 3_000;
    private static final long RECOVERY_MILLIS = 4_000;
    private static final int MEAN_ACTION_INTERVAL_MILLIS = 20;

    private final SimulatedCluster mCluster;
    private Optional<MemberIdentifier> mMemberToReplace = Optional.empty();
    private int mLostDisks;

    private RandomSchedule(SimulatedCluster cluster) {
        mCluster = cluster;
    }

    /**
     * Runs the schedule of a seed.
     *
     * @throws AssertionError if an invariant is violated, or the cluster does not recover after the
     *     faults end
     */
    static RandomSchedule run(long seed, int size, SafetyRules rules) {
        SimulatedCluster cluster = new SimulatedCluster(seed, size, rules);
        RandomSchedule schedule = new RandomSchedule(cluster);
        cluster.runUntil(FAULTS_START_MILLIS);
        cluster.startNetworkFaults();
        schedule.scheduleAction();
        cluster.runUntil(FAULTS_END_MILLIS);
        schedule.recover();
        return schedule;
    }

    int lostDisks() {
        return mLostDisks;
    }

    long traceHash() {
        return mCluster.traceHash();
    }

    long lastCommittedIndex() {
        return mCluster.mInvariants.lastCommittedIndex();
    }

    int confirmedReads() {
        return mCluster.mInvariants.confirmedReads();
    }

    private void scheduleAction() {
        mCluster.schedule(
                mCluster.mRandom.nextInt(2 * MEAN_ACTION_INTERVAL_MILLIS),
                () -> {
                    if (mCluster.nowMillis() < FAULTS_END_MILLIS) {
                        performRandomAction();
                        scheduleAction();
                    }
                });
    }

    private void performRandomAction() {
        if (mCluster.mRandom.nextInt(8) == 0) {
            leaders().forEach(this::injectLeaderFault);
        }
        SimulatedMember member = randomMember(mCluster.mMembers.values());
        switch (mCluster.mRandom.nextInt(40)) {
            case 0, 1 -> crash(member);
            case 2 -> mCluster.freeze(member, 1 + mCluster.mRandom.nextInt(700));
            case 3 -> blockBothDirections(member);
            case 4 -> blockOneDirection(member);
            case 5, 6 -> mCluster.healNetwork();
            case 7, 8 -> mCluster.compact(member);
            case 9 -> loseDisk(member);
            case 10 -> replaceVoter();
            case 11, 12, 13, 14, 15, 16 -> continueMembershipChange();
            case 17, 18, 19, 20, 21, 22, 23, 24 -> readFromMemberAndLeaders(member);
            default -> mCluster.propose(member);
        }
    }

    /** Injects a fault into a leader, since most faults in other members have little effect. */
    private void injectLeaderFault(SimulatedMember leader) {
        switch (mCluster.mFaultTarget) {
            case ANY -> {}
            case CRASHED_LEADERS -> crash(leader);
            case ISOLATED_LEADERS -> {
                switch (mCluster.mRandom.nextInt(3)) {
                    case 0 -> blockBothDirections(leader);
                    case 1 -> blockOneDirection(leader);
                    default -> mCluster.freeze(leader, 1 + mCluster.mRandom.nextInt(700));
                }
            }
        }
    }

    private void readFromMemberAndLeaders(SimulatedMember member) {
        mCluster.read(member);
        leaders().forEach(mCluster::read);
    }

    private void crash(SimulatedMember member) {
        if (!member.mRunning || mCluster.mLostMembers.contains(member.mIdentifier)) {
            return;
        }
        member.crash(mCluster.mRandom);
        int maximumDowntimeMillis =
                mCluster.mFaultTarget == FaultTarget.CRASHED_LEADERS ? 100 : 500;
        mCluster.schedule(mCluster.mRandom.nextInt(maximumDowntimeMillis), () -> restart(member));
    }

    private void restart(SimulatedMember member) {
        if (!member.mRunning && !mCluster.mLostMembers.contains(member.mIdentifier)) {
            mCluster.start(member);
        }
    }

    private void blockBothDirections(SimulatedMember member) {
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            mCluster.block(member.mIdentifier, other);
            mCluster.block(other, member.mIdentifier);
        }
    }

    private void blockOneDirection(SimulatedMember member) {
        boolean outbound = mCluster.mRandom.nextBoolean();
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            mCluster.block(
                    outbound ? member.mIdentifier : other, outbound ? other : member.mIdentifier);
        }
    }

    /**
     * Destroys a member with its disk and starts an empty replacement, unless a membership in use
     * would lose its majority.
     */
    private void loseDisk(SimulatedMember member) {
        if (!mayLoseDisk(member.mIdentifier)) {
            return;
        }
        mLostDisks++;
        member.mRunning = false;
        member.mIncarnation++;
        mCluster.mLostMembers.add(member.mIdentifier);
        mCluster.startWithEmptyDisk(mCluster.newIdentifier());
    }

    private boolean mayLoseDisk(MemberIdentifier candidate) {
        if (mCluster.mLostMembers.contains(candidate)) {
            return false;
        }
        for (SimulatedMember member : mCluster.mMembers.values()) {
            if (mCluster.mLostMembers.contains(member.mIdentifier)) {
                continue;
            }
            if (!member.mRunning
                    || !retainsMajority(member.mConsensus.status().membership(), candidate)) {
                return false;
            }
        }
        return true;
    }

    private boolean retainsMajority(Membership membership, MemberIdentifier candidate) {
        Set<MemberIdentifier> voters = membership.voters();
        long unavailable =
                voters.stream()
                        .filter(
                                voter ->
                                        voter.equals(candidate)
                                                || mCluster.mLostMembers.contains(voter))
                        .count();
        return voters.isEmpty() || unavailable <= (voters.size() - 1) / 2;
    }

    /**
     * Starts a new member to replace a randomly chosen one, unless a replacement is in progress or
     * the cluster already has 12 members.
     */
    private void replaceVoter() {
        if (mMemberToReplace.isEmpty() && mCluster.mMembers.size() < 12) {
            mMemberToReplace = Optional.of(randomMember(mCluster.mMembers.values()).mIdentifier);
            mCluster.startWithEmptyDisk(mCluster.newIdentifier());
        }
    }

    /** Submits the next membership change of a replacement to every leader. */
    private void continueMembershipChange() {
        for (SimulatedMember leader : leaders()) {
            nextChange(leader.mConsensus.status().membership())
                    .ifPresent(change -> mCluster.changeMembership(leader, change));
        }
    }

    private List<SimulatedMember> leaders() {
        return mCluster.mMembers.values().stream()
                .filter(member -> member.mRunning && !member.mFrozen)
                .filter(member -> member.mConsensus.status().leading())
                .toList();
    }

    private Optional<MembershipChange> nextChange(Membership membership) {
        MemberIdentifier newest = List.copyOf(mCluster.mMembers.keySet()).getLast();
        boolean shouldJoin =
                !mCluster.mLostMembers.contains(newest)
                        && !mMemberToReplace.equals(Optional.of(newest));
        if (membership.member(newest).isEmpty() && shouldJoin) {
            return Optional.of(new MembershipChange.AddLearner(newest, newest.value(), false));
        }
        Optional<MemberIdentifier> removable = removableMember(membership);
        if (removable.isPresent() && mCluster.mRandom.nextBoolean()) {
            return removable.map(MembershipChange.Remove::new);
        }
        Optional<MemberIdentifier> learner =
                membership.members().values().stream()
                        .filter(member -> !member.voting())
                        .map(Member::identifier)
                        .filter(member -> !mCluster.mLostMembers.contains(member))
                        .findFirst();
        if (learner.isEmpty() && removable.isEmpty()) {
            mMemberToReplace = Optional.empty();
        }
        return learner.<MembershipChange>map(MembershipChange.Promote::new);
    }

    /** Returns a lost or replaced member whose removal leaves a majority available. */
    private Optional<MemberIdentifier> removableMember(Membership membership) {
        return membership.members().keySet().stream()
                .filter(
                        member ->
                                mCluster.mLostMembers.contains(member)
                                        || mMemberToReplace.equals(Optional.of(member)))
                .filter(member -> retainsMajority(membership.without(member), member))
                .findFirst();
    }

    /**
     * Ends all faults, and checks that all available voters of a leader apply entries beyond the
     * last index committed before.
     */
    private void recover() {
        mCluster.stopNetworkFaults();
        for (SimulatedMember member : mCluster.mMembers.values()) {
            restart(member);
            mCluster.thaw(member);
        }
        long committedBefore = mCluster.mInvariants.lastCommittedIndex();
        long endMillis = FAULTS_END_MILLIS;
        while (endMillis < FAULTS_END_MILLIS + RECOVERY_MILLIS && !isRecovered(committedBefore)) {
            endMillis += 200;
            mCluster.mMembers.values().stream()
                    .filter(member -> member.mRunning)
                    .forEach(mCluster::propose);
            mCluster.runUntil(endMillis);
        }
        assertWithMessage(
                        "the cluster commits new entries after all faults ended; members: %s",
                        describeMembers())
                .that(isRecovered(committedBefore))
                .isTrue();
    }

    private String describeMembers() {
        StringBuilder description = new StringBuilder();
        for (SimulatedMember member : mCluster.mMembers.values()) {
            description.append(
                    mCluster.mLostMembers.contains(member.mIdentifier) ? "\nlost " : "\n");
            description.append(member.mConsensus.status());
        }
        return description.toString();
    }

    private boolean isRecovered(long committedBefore) {
        return mCluster.mMembers.values().stream()
                .filter(member -> member.mRunning && member.mConsensus.status().leading())
                .anyMatch(member -> allVotersAppliedBeyond(member, committedBefore));
    }

    private boolean allVotersAppliedBeyond(SimulatedMember leader, long index) {
        return leader.mConsensus.status().membership().voters().stream()
                .filter(voter -> !mCluster.mLostMembers.contains(voter))
                .allMatch(voter -> mCluster.mMembers.get(voter).mAppliedIndex > index);
    }

    private SimulatedMember randomMember(Collection<SimulatedMember> members) {
        return List.copyOf(members).get(mCluster.mRandom.nextInt(members.size()));
    }
}
