package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.ibisstand.storage.MemoryDisk;
import org.ibisstand.storage.MemoryDisk.Operation;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Lets the disks of a group be full, or fail to sync, one after another at random points; then cuts
 * the power of all members. The system property {@code ibisstand.disk.seeds} sets the number of
 * seeds, and {@code ibisstand.seed} the first one.
 */
class DiskFaultsTest {
    private static final int SEED_COUNT = Integer.getInteger("ibisstand.disk.seeds", 90);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);
    private static final int[] SIZES = {3, 5, 7};
    private static final int ROUNDS = 3;
    private static final int LONGEST_FAULT_MILLIS = 1_500;
    private static final int CHANGES = 20;
    private static final long WAIT_TIMEOUT_MILLIS = 20_000;

    private SimulatedCluster mCluster;
    private Random mRandom;
    private Optional<MemberIdentifier> mJoining = Optional.empty();

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
    }

    /** What a disk refuses while it is at fault. */
    private enum Fault {
        FULL,
        SYNC_FAILS,
        SOME_OPERATIONS,
        ONE_OPERATION
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void theGroupCommitsAgainAndLosesNothingAfterDiskFaultsInTurn(long seed) {
        start(seed);
        for (int round = 0; round < ROUNDS; round++) {
            for (SimulatedMember member : List.copyOf(mCluster.mMembers.values())) {
                injectFault(member);
            }
        }

        commitChanges();
        cutPowerOfAll();
        commitChanges();
    }

    private void start(long seed) {
        mRandom = new Random(seed);
        int size = SIZES[(int) (seed % SIZES.length)];
        mCluster = new SimulatedCluster(seed, size, new SafetyRules());
        run(1_000);
    }

    /** A new member catches up by a snapshot, since the members keep few entries. */
    @ParameterizedTest
    @MethodSource("seeds")
    void aMemberThatJoinsWhileDisksAreAtFaultInTurnGetsItsVote(long seed) {
        start(seed);
        MemberIdentifier joining = mCluster.newIdentifier();
        SimulatedMember member = new SimulatedMember(joining);
        member.mDisk.setFaultHook(hook(randomFault()));
        mCluster.mMembers.put(joining, member);
        mCluster.start(member);
        mJoining = Optional.of(joining);
        for (SimulatedMember each : List.copyOf(mCluster.mMembers.values()).reversed()) {
            injectFault(each);
        }

        await("the new member to vote", () -> leaders().stream().anyMatch(this::countsJoining));
        commitChanges();
        cutPowerOfAll();
        commitChanges();
    }

    private boolean countsJoining(SimulatedMember leader) {
        return leader.mConsensus.status().membership().isVoter(mJoining.orElseThrow());
    }

    private void injectFault(SimulatedMember member) {
        member.mDisk.setFaultHook(hook(randomFault()));
        if (mRandom.nextInt(3) == 0) {
            run(mRandom.nextInt(300));
            restart(member);
        }
        run(1 + mRandom.nextInt(LONGEST_FAULT_MILLIS));
        member.mDisk.setFaultHook(operation -> {});
        run(mRandom.nextInt(200));
    }

    private Fault randomFault() {
        return Fault.values()[mRandom.nextInt(Fault.values().length)];
    }

    private MemoryDisk.FaultHook hook(Fault fault) {
        int[] remaining = {mRandom.nextInt(40)};
        return operation -> {
            boolean isRefused =
                    switch (fault) {
                        case FULL -> operation == Operation.WRITE || operation == Operation.CREATE;
                        case SYNC_FAILS ->
                                operation == Operation.SYNC || operation == Operation.SYNC_FOLDER;
                        case SOME_OPERATIONS -> mRandom.nextInt(3) == 0;
                        case ONE_OPERATION -> remaining[0]-- == 0;
                    };
            if (isRefused) {
                throw new IOException("refused: " + operation);
            }
        };
    }

    /**
     * Ends the process of a member, or cuts its power, and starts it while its disk is at fault.
     */
    private void restart(SimulatedMember member) {
        if (mRandom.nextBoolean()) {
            member.kill();
        } else {
            member.crash(mRandom);
        }
        mCluster.start(member);
    }

    private void cutPowerOfAll() {
        mCluster.mMembers.values().forEach(member -> member.crash(mRandom));
        mCluster.mMembers.values().forEach(mCluster::start);
    }

    private void run(long durationMillis) {
        long endMillis = mCluster.nowMillis() + durationMillis;
        while (mCluster.nowMillis() < endMillis) {
            mCluster.runFor(Math.min(40, endMillis - mCluster.nowMillis()));
            leaders().forEach(mCluster::propose);
            leaders().forEach(this::continueJoin);
            if (mRandom.nextInt(10) == 0) {
                mCluster.mMembers.values().forEach(mCluster::compact);
            }
        }
    }

    private void continueJoin(SimulatedMember leader) {
        mJoining.ifPresent(
                joining -> {
                    Membership membership = leader.mConsensus.status().membership();
                    if (membership.member(joining).isEmpty()) {
                        mCluster.changeMembership(
                                leader,
                                new MembershipChange.AddLearner(joining, joining.value(), false));
                    } else if (!membership.isVoter(joining)) {
                        mCluster.changeMembership(leader, new MembershipChange.Promote(joining));
                    }
                });
    }

    private void commitChanges() {
        for (int change = 1; change <= CHANGES; change++) {
            long committed = mCluster.mInvariants.lastCommittedIndex();
            await("change " + change, () -> mCluster.mInvariants.lastCommittedIndex() > committed);
        }
    }

    private void await(String description, BooleanSupplier condition) {
        long endMillis = mCluster.nowMillis() + WAIT_TIMEOUT_MILLIS;
        while (!condition.getAsBoolean() && mCluster.nowMillis() < endMillis) {
            run(40);
        }
        assertWithMessage("%s within the time", description)
                .that(condition.getAsBoolean())
                .isTrue();
    }

    private List<SimulatedMember> leaders() {
        return mCluster.mMembers.values().stream()
                .filter(member -> member.mRunning && member.mConsensus.status().leading())
                .toList();
    }
}
