package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the cluster under one kind of fault at a time, in the order in which operators meet them.
 * The simulated cluster checks the invariants throughout.
 */
class ScenarioTest {
    private static final long WAIT_TIMEOUT_MILLIS = 20_000;

    /** Longer than the group needs to commit an entry, and within the election timeout. */
    private static final int FARTHER_AWAY_MILLIS = 40;

    private SimulatedCluster mCluster;

    static LongStream seeds() {
        return LongStream.range(0, 20);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void repeatedVoterReplacementKeepsEveryCommittedEntry(long seed) {
        formCluster(seed, 3);
        for (int loss = 0; loss < 4; loss++) {
            commitEntries(30);
            replaceLostMember(voterAt(loss));
        }
        commitEntries(30);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aDeposedLeaderConfirmsNoReadAfterItThaws(long seed) {
        formCluster(seed, 3);
        SimulatedMember oldLeader = leader();
        mCluster.freeze(oldLeader, 3_000);
        mCluster.propose(oldLeader);
        mCluster.read(oldLeader);
        await(
                "the election of another leader",
                () -> leaders().stream().anyMatch(candidate -> candidate != oldLeader));
        commitEntries(10);
        long committed = mCluster.mInvariants.lastCommittedIndex();
        int confirmedReads = mCluster.mInvariants.confirmedReads();

        mCluster.thaw(oldLeader);
        mCluster.read(oldLeader);
        mCluster.runFor(1_000);

        assertThat(oldLeader.mConsensus.status().leading()).isFalse();
        assertThat(mCluster.mInvariants.confirmedReads()).isEqualTo(confirmedReads);
        assertThat(mCluster.mInvariants.lastCommittedIndex()).isAtLeast(committed);
    }

    @ParameterizedTest
    @EnumSource
    void aPartitionedLeaderStepsDownAndRejoinsWithoutRaisingTheTerm(PartitionDirection direction) {
        formCluster(1, 5);
        SimulatedMember oldLeader = leader();
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            if (direction != PartitionDirection.INBOUND) {
                mCluster.block(oldLeader.mIdentifier, other);
            }
            if (direction != PartitionDirection.OUTBOUND) {
                mCluster.block(other, oldLeader.mIdentifier);
            }
        }
        await("the old leader to step down", () -> !oldLeader.mConsensus.status().leading());
        await(
                "the election of another leader",
                () -> leaders().size() == 1 && leader() != oldLeader);
        mCluster.runFor(2_000);
        long term = leader().mConsensus.status().term();

        mCluster.healNetwork();
        commitEntries(10);

        assertThat(leader().mConsensus.status().term()).isEqualTo(term);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 600})
    void aLaggingMemberCatchesUpFromASnapshot(int entries) {
        formCluster(1, 3);
        SimulatedMember laggingMember = follower();
        laggingMember.crash(mCluster.mRandom);
        commitEntries(entries);
        mCluster.mMembers.values().stream()
                .filter(member -> member != laggingMember)
                .forEach(mCluster::compact);

        mCluster.start(laggingMember);

        long committed = mCluster.mInvariants.lastCommittedIndex();
        await("the member to catch up", () -> laggingMember.mAppliedIndex >= committed);
        assertThat(laggingMember.mConsensus.status().snapshotIndex())
                .isGreaterThan((long) entries / 2);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void theClusterCommitsAfterAllMembersLoseUnsyncedWrites(long seed) {
        formCluster(seed, 5);
        commitEntries(20);
        mCluster.propose(leader());
        mCluster.runFor(seed);
        List<SimulatedMember> members = List.copyOf(mCluster.mMembers.values());
        members.forEach(member -> member.crash(mCluster.mRandom));
        members.forEach(mCluster::start);

        commitEntries(10);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5})
    void aLaggingLearnerIsNotPromoted(int size) {
        formCluster(1, size);
        commitEntries(10);
        MemberIdentifier learner = mCluster.newIdentifier();
        mCluster.startWithEmptyDisk(learner);
        mCluster.changeMembership(
                leader(), new MembershipChange.AddLearner(learner, "address", false));
        await("the learner to be added", () -> isMember(learner));
        mCluster.freeze(mCluster.mMembers.get(learner), 2_000);
        commitEntries(10);

        mCluster.changeMembership(leader(), new MembershipChange.Promote(learner));
        mCluster.runFor(500);

        assertThat(leader().mConsensus.status().membership().isVoter(learner)).isFalse();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aLearnerThatFollowsFromFartherAwayIsPromotedWhileEntriesAreCommitted(long seed) {
        formCluster(seed, 3, Optional.of(Limits.DEFAULT));
        MemberIdentifier learner = mCluster.newIdentifier();
        mCluster.moveAway(learner, FARTHER_AWAY_MILLIS);
        mCluster.startWithEmptyDisk(learner);
        mCluster.changeMembership(
                leader(), new MembershipChange.AddLearner(learner, "address", false));
        await("the learner to be added", () -> isMember(learner));

        MembershipChange promote = new MembershipChange.Promote(learner);
        await(
                "the promotion of the learner",
                () -> {
                    leaders().forEach(mCluster::propose);
                    leaders().forEach(leader -> mCluster.changeMembership(leader, promote));
                    return isVoter(learner);
                });
    }

    private void formCluster(long seed, int size) {
        formCluster(seed, size, Optional.empty());
    }

    private void formCluster(long seed, int size, Optional<Limits> limits) {
        mCluster = new SimulatedCluster(seed, size, new SafetyRules(), limits);
        await(
                "every member to apply the initial membership",
                () ->
                        mCluster.mMembers.values().stream()
                                .allMatch(member -> member.mAppliedIndex > 1));
    }

    private void commitEntries(int entries) {
        long targetIndex = mCluster.mInvariants.lastCommittedIndex() + entries;
        await(
                entries + " entries to be committed",
                () -> {
                    leaders().forEach(mCluster::propose);
                    return mCluster.mInvariants.lastCommittedIndex() >= targetIndex;
                });
    }

    private void replaceLostMember(SimulatedMember lost) {
        lost.mRunning = false;
        lost.mIncarnation++;
        MemberIdentifier replacement = mCluster.newIdentifier();
        mCluster.startWithEmptyDisk(replacement);
        changeUntil(
                new MembershipChange.AddLearner(replacement, "address", false), replacement, true);
        changeUntil(new MembershipChange.Remove(lost.mIdentifier), lost.mIdentifier, false);
        MembershipChange promote = new MembershipChange.Promote(replacement);
        await(
                "the promotion of " + replacement,
                () -> {
                    leaders().forEach(leader -> mCluster.changeMembership(leader, promote));
                    return isVoter(replacement);
                });
    }

    private void changeUntil(MembershipChange change, MemberIdentifier member, boolean present) {
        await(
                change.toString(),
                () -> {
                    leaders().forEach(leader -> mCluster.changeMembership(leader, change));
                    return !leaders().isEmpty() && isMember(member) == present;
                });
    }

    private boolean isMember(MemberIdentifier member) {
        return leaders().stream()
                .anyMatch(
                        leader ->
                                leader.mConsensus.status().membership().member(member).isPresent());
    }

    private boolean isVoter(MemberIdentifier member) {
        return leaders().stream()
                .anyMatch(leader -> leader.mConsensus.status().membership().isVoter(member));
    }

    private SimulatedMember voterAt(int number) {
        List<MemberIdentifier> voters =
                List.copyOf(leader().mConsensus.status().membership().voters());
        return mCluster.mMembers.get(voters.get(number % voters.size()));
    }

    private List<SimulatedMember> leaders() {
        return mCluster.mMembers.values().stream()
                .filter(
                        member ->
                                member.mRunning
                                        && !member.mFrozen
                                        && member.mConsensus.status().leading())
                .toList();
    }

    private SimulatedMember leader() {
        await("exactly one leader", () -> leaders().size() == 1);
        return leaders().getFirst();
    }

    private SimulatedMember follower() {
        SimulatedMember leader = leader();
        return mCluster.mMembers.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
    }

    private void await(String description, BooleanSupplier condition) {
        long deadlineMillis = mCluster.nowMillis() + WAIT_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean()) {
            assertWithMessage("timed out waiting for %s", description)
                    .that(mCluster.nowMillis())
                    .isLessThan(deadlineMillis);
            mCluster.runFor(10);
        }
    }

    /** The direction in which messages of the partitioned member are dropped. */
    enum PartitionDirection {
        BOTH,
        INBOUND,
        OUTBOUND
    }
}
