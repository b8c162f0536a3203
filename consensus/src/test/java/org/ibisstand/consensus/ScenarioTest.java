package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Faults one at a time, in the order in which operators meet them; invariants hold throughout. */
class ScenarioTest {
    private static final long PATIENCE_MILLIS = 20_000;

    private SimulatedCluster mCluster;

    static LongStream seeds() {
        return LongStream.range(0, 20);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aSecondLossRightAfterARepairLosesNothing(long seed) {
        form(seed, 3);
        for (int loss = 0; loss < 4; loss++) {
            commit(30);
            replace(anyVoter(loss));
        }
        commit(30);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void aFrozenLeaderThatThawsCommitsAndAnswersNothing(long seed) {
        form(seed, 3);
        SimulatedMember old = leader();
        mCluster.freeze(old, 3_000);
        mCluster.propose(old);
        mCluster.read(old);
        await("another leader", () -> leaders().stream().anyMatch(one -> one != old));
        commit(10);
        long committed = mCluster.mInvariants.lastCommitted();
        int reads = mCluster.mInvariants.reads();

        mCluster.thaw(old);
        mCluster.read(old);
        mCluster.runFor(1_000);

        assertThat(old.mCore.status().leading()).isFalse();
        assertThat(mCluster.mInvariants.reads()).isEqualTo(reads);
        assertThat(mCluster.mInvariants.lastCommitted()).isAtLeast(committed);
    }

    @ParameterizedTest
    @EnumSource
    void aLeaderCutOffStepsDownAndDoesNotDisturbOnceItIsBack(Cut cut) {
        form(1, 5);
        SimulatedMember old = leader();
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            if (cut != Cut.INWARDS) {
                mCluster.block(old.mIdentifier, other);
            }
            if (cut != Cut.OUTWARDS) {
                mCluster.block(other, old.mIdentifier);
            }
        }
        await("the old leader to step down", () -> !old.mCore.status().leading());
        await("another leader", () -> leaders().size() == 1 && leader() != old);
        mCluster.runFor(2_000);
        long term = leader().mCore.status().term();

        mCluster.healNetwork();
        commit(10);

        assertThat(leader().mCore.status().term()).isEqualTo(term);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 600})
    void aMemberHundredsOfEntriesBehindCatchesUpFromASnapshot(int entries) {
        form(1, 3);
        SimulatedMember behind = follower();
        behind.crash(mCluster.mRandom);
        commit(entries);
        mCluster.mMembers.values().stream().filter(one -> one != behind).forEach(mCluster::compact);

        mCluster.start(behind);

        long committed = mCluster.mInvariants.lastCommitted();
        await("the member to catch up", () -> behind.mAppliedIndex >= committed);
        assertThat(behind.mCore.status().snapshotIndex()).isGreaterThan((long) entries / 2);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyMemberAtOnceLosesItsUnsyncedWrites(long seed) {
        form(seed, 5);
        commit(20);
        mCluster.propose(leader());
        mCluster.runFor(seed);
        List<SimulatedMember> all = List.copyOf(mCluster.mMembers.values());
        all.forEach(one -> one.crash(mCluster.mRandom));
        all.forEach(mCluster::start);

        commit(10);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5})
    void aLearnerThatLagsGetsNoVote(int size) {
        form(1, size);
        commit(10);
        MemberIdentifier learner = mCluster.newIdentifier();
        mCluster.startBlank(learner);
        mCluster.change(leader(), new MembershipChange.AddLearner(learner, "address"));
        await("the learner", () -> isMember(learner));
        mCluster.freeze(mCluster.mMembers.get(learner), 2_000);
        commit(10);

        mCluster.change(leader(), new MembershipChange.Promote(learner));
        mCluster.runFor(500);

        assertThat(leader().mCore.status().membership().isVoter(learner)).isFalse();
    }

    private void form(long seed, int size) {
        mCluster = new SimulatedCluster(seed, size, new SafetyRules());
        await(
                "every member to join",
                () -> mCluster.mMembers.values().stream().allMatch(one -> one.mAppliedIndex > 1));
    }

    private void commit(int entries) {
        long target = mCluster.mInvariants.lastCommitted() + entries;
        await(
                entries + " commits",
                () -> {
                    leaders().forEach(mCluster::propose);
                    return mCluster.mInvariants.lastCommitted() >= target;
                });
    }

    private void replace(SimulatedMember lost) {
        lost.mUp = false;
        lost.mStarts++;
        MemberIdentifier replacement = mCluster.newIdentifier();
        mCluster.startBlank(replacement);
        changeUntil(new MembershipChange.AddLearner(replacement, "address"), replacement, true);
        changeUntil(new MembershipChange.Remove(lost.mIdentifier), lost.mIdentifier, false);
        MembershipChange promote = new MembershipChange.Promote(replacement);
        await(
                "the vote of " + replacement,
                () -> {
                    leaders().forEach(one -> mCluster.change(one, promote));
                    return leaders().stream()
                            .anyMatch(one -> one.mCore.status().membership().isVoter(replacement));
                });
    }

    private void changeUntil(MembershipChange change, MemberIdentifier member, boolean present) {
        await(
                change.toString(),
                () -> {
                    leaders().forEach(one -> mCluster.change(one, change));
                    return !leaders().isEmpty() && isMember(member) == present;
                });
    }

    private boolean isMember(MemberIdentifier member) {
        return leaders().stream()
                .anyMatch(one -> one.mCore.status().membership().member(member).isPresent());
    }

    private SimulatedMember anyVoter(int number) {
        List<MemberIdentifier> voters = List.copyOf(leader().mCore.status().membership().voters());
        return mCluster.mMembers.get(voters.get(number % voters.size()));
    }

    private List<SimulatedMember> leaders() {
        return mCluster.mMembers.values().stream()
                .filter(one -> one.mUp && !one.mFrozen && one.mCore.status().leading())
                .toList();
    }

    private SimulatedMember leader() {
        await("one leader", () -> leaders().size() == 1);
        return leaders().getFirst();
    }

    private SimulatedMember follower() {
        SimulatedMember leader = leader();
        return mCluster.mMembers.values().stream()
                .filter(one -> one != leader)
                .findFirst()
                .orElseThrow();
    }

    private void await(String what, BooleanSupplier condition) {
        long end = mCluster.nowMillis() + PATIENCE_MILLIS;
        while (!condition.getAsBoolean()) {
            assertWithMessage("waited in vain for %s", what)
                    .that(mCluster.nowMillis())
                    .isLessThan(end);
            mCluster.runFor(10);
        }
    }

    /** Which way a member's messages are lost. */
    enum Cut {
        BOTH_WAYS,
        INWARDS,
        OUTWARDS
    }
}
