package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.ibisstand.storage.MemoryDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The disks of a group are full, or fail to sync, one after another and never two at once. */
class FullDisksTest {
    private static final int CHANGES = 20;
    private static final int OPERATORS = 4;
    private static final int CHANGES_WHILE_FULL = 5;
    private static final int LARGE_COMMAND_BYTES = 1 << 20;
    private static final int TIMEOUT_SECONDS = 20;

    /** The product's default. */
    private static final int ELECTION_TIMEOUT_MILLISECONDS = 1_000;

    private static final int SLOW_SYNC_MILLISECONDS = 600;

    @TempDir Path mFolder;
    private LogGroup mGroup;
    private int mCommands;
    private Optional<Throwable> mLastFailure = Optional.empty();
    private final List<String> mAcknowledged = new ArrayList<>();

    @AfterEach
    void close() {
        mGroup.close();
    }

    /** How a full disk shows: at once, or later where the system writes late. */
    private enum Fault {
        WRITES_REFUSED,
        SYNCS_FAIL
    }

    static Stream<Arguments> groups() {
        return Stream.of(3, 5, 7)
                .flatMap(size -> Stream.of(Fault.values()).map(fault -> Arguments.of(size, fault)));
    }

    /** After the second failed sync of three the group had no leader to the end of the day. */
    @ParameterizedTest
    @MethodSource("groups")
    void allChangesAreCommittedAfterDiskFaultsInTurn(int size, Fault fault) {
        mGroup = LogGroup.startInMemory(mFolder, size, ELECTION_TIMEOUT_MILLISECONDS);
        mGroup.propose("first");
        for (String name : mGroup.names()) {
            setFault(name, fault, true);
            for (int change = 0; change < CHANGES_WHILE_FULL; change++) {
                proposeAtOnce();
            }
            mGroup.awaitTrue(
                    "the disk of " + name + " refuses", mGroup.member(name)::isStorageRefused);
            setFault(name, fault, false);
            awaitAccepted(name);
        }

        assertAllChangesAreCommitted();
        losePowerOfAll();
        assertAllChangesAreCommitted();
    }

    /** A member that found its disk full as it started ended its process. */
    @ParameterizedTest
    @EnumSource(Fault.class)
    void membersThatStartWhileTheirDiskIsAtFaultTakePartAfterwards(Fault fault) {
        mGroup = LogGroup.startInMemory(mFolder, 3, ELECTION_TIMEOUT_MILLISECONDS);
        mGroup.propose("first");
        for (String name : mGroup.names()) {
            mGroup.member(name).close();
            setFault(name, fault, true);
            mGroup.restart(name);
            for (int change = 0; change < CHANGES_WHILE_FULL; change++) {
                mGroup.propose("while " + name + " is full " + change);
            }
            assertThat(mGroup.member(name).status().leads()).isFalse();
            setFault(name, fault, false);
            awaitAccepted(name);
        }

        mGroup.awaitAppliedEverywhere(mGroup.proposedCommands());
        assertAllChangesAreCommitted();
    }

    /** A leader whose disk is full keeps what it could not write in memory, up to a limit. */
    @Test
    void largeChangesAreCommittedAgainAfterTheDiskOfTheLeaderWasFull() {
        mGroup = LogGroup.startInMemory(mFolder, 3, ELECTION_TIMEOUT_MILLISECONDS);
        mGroup.propose("first");
        for (int round = 0; round < 2; round++) {
            LogGroup.Member leader = mGroup.leader();
            setFault(leader.name(), Fault.WRITES_REFUSED, true);
            int committed = 0;
            while (committed < 20 && proposeLarge(leader)) {
                committed++;
            }
            assertWithMessage("changes of round %s, until %s", round, mLastFailure)
                    .that(committed)
                    .isAtLeast(4);
            setFault(leader.name(), Fault.WRITES_REFUSED, false);
            awaitAccepted(leader.name());
        }

        assertAllChangesAreCommitted();
    }

    /** Such a change failed after 100 ms, though the others were about to commit it. */
    @Test
    void aChangeThatTheOthersCommitSlowlyIsAcknowledgedThoughTheDiskOfTheLeaderIsFull() {
        mGroup = LogGroup.startInMemory(mFolder, 3, 3_000);
        mGroup.propose("first");
        LogGroup.Member leader = mGroup.leader();
        for (String name : mGroup.names()) {
            mGroup.disk(name).setFaultHook(FullDisksTest::delaySync);
        }
        setFault(leader.name(), Fault.WRITES_REFUSED, true);

        assertThat(succeeds(leader.propose("second"))).isTrue();
    }

    private static void delaySync(MemoryDisk.Operation operation) {
        if (operation == MemoryDisk.Operation.SYNC) {
            CompletableFuture.runAsync(
                            () -> {},
                            CompletableFuture.delayedExecutor(
                                    SLOW_SYNC_MILLISECONDS, TimeUnit.MILLISECONDS))
                    .join();
        }
    }

    private boolean proposeLarge(LogGroup.Member leader) {
        mCommands++;
        String command = "x".repeat(LARGE_COMMAND_BYTES) + mCommands;
        return succeeds(leader.propose(command));
    }

    private void setFault(String name, Fault fault, boolean isPresent) {
        MemoryDisk disk = mGroup.disk(name);
        switch (fault) {
            case WRITES_REFUSED -> disk.setCapacity(isPresent ? 0 : Long.MAX_VALUE);
            case SYNCS_FAIL -> disk.setSyncFails(isPresent);
        }
    }

    private void awaitAccepted(String name) {
        mGroup.awaitTrue(
                "the disk of " + name + " accepts writes",
                () -> !mGroup.member(name).isStorageRefused());
    }

    /** Lets several operators propose a change each; notes what was acknowledged. */
    private void proposeAtOnce() {
        LogGroup.Member leader = mGroup.leader();
        List<String> commands = new ArrayList<>();
        List<CompletableFuture<byte[]>> proposals = new ArrayList<>();
        for (int operator = 0; operator < OPERATORS; operator++) {
            commands.add("command " + ++mCommands);
            proposals.add(leader.propose(commands.getLast()));
        }
        for (int operator = 0; operator < OPERATORS; operator++) {
            if (succeeds(proposals.get(operator))) {
                mAcknowledged.add(commands.get(operator));
            }
        }
    }

    private boolean succeeds(CompletableFuture<byte[]> proposal) {
        return proposal.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .handle(
                        (result, failure) -> {
                            mLastFailure = Optional.ofNullable(failure).or(() -> mLastFailure);
                            return failure == null;
                        })
                .join();
    }

    private void assertAllChangesAreCommitted() {
        int committed = 0;
        for (int change = 0; change < CHANGES; change++) {
            String command = "command " + ++mCommands;
            if (succeeds(mGroup.leader().propose(command))) {
                committed++;
                mAcknowledged.add(command);
            }
        }
        assertWithMessage("committed changes; last failure %s", mLastFailure)
                .that(committed)
                .isEqualTo(CHANGES);
        assertThat(mGroup.leader().stateText().lines().toList())
                .containsAtLeastElementsIn(mAcknowledged);
    }

    private void losePowerOfAll() {
        mGroup.stopAll();
        int seed = 1;
        for (String name : mGroup.names()) {
            mGroup.disk(name).crash(new Random(seed++));
        }
        mGroup.names().forEach(mGroup::restart);
        mGroup.propose("after the loss of power");
    }
}
