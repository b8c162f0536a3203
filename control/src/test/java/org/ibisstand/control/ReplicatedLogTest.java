package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletionException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.storage.MemoryDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicatedLogTest {
    @TempDir Path mFolder;
    private LogGroup mGroup;

    @AfterEach
    void close() {
        mGroup.close();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void everyMemberAppliesEveryCommittedCommand(int memberCount) {
        mGroup = LogGroup.start(mFolder, memberCount);
        for (int number = 1; number <= 20; number++) {
            assertThat(mGroup.propose("command " + number)).isEqualTo("result " + number);
        }

        mGroup.awaitAppliedEverywhere(20);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberHundredsOfCommandsBehindCatchesUp(boolean fromSnapshot) {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Member follower = mGroup.follower();
        follower.close();
        for (int number = 2; number <= 300; number++) {
            mGroup.propose("command " + number);
        }

        if (fromSnapshot) {
            mGroup.restartAll();
        } else {
            mGroup.restart(follower.name());
        }

        mGroup.awaitAppliedEverywhere(300);
    }

    @Test
    void theOthersCommitAfterTheLeaderStopsAndItRejoins() {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Member leader = mGroup.leader();
        leader.close();

        mGroup.propose("second");
        mGroup.restart(leader.name());

        mGroup.awaitAppliedEverywhere(2);
    }

    @Test
    void aRestartOfAllMembersKeepsEveryCommand() {
        mGroup = LogGroup.start(mFolder, 3);
        for (int number = 1; number <= 50; number++) {
            mGroup.propose("command " + number);
        }
        mGroup.restartAll();

        mGroup.propose("last");
        mGroup.awaitAppliedEverywhere(51);
    }

    @Test
    void everyMemberInTurnLosesItsDiskAndRejoins() {
        mGroup = LogGroup.start(mFolder, 3);
        for (int number = 1; number <= 30; number++) {
            mGroup.propose("command " + number);
        }
        for (String name : mGroup.names()) {
            mGroup.loseDisk(name);
            mGroup.addMember(name);
            mGroup.propose("after the loss of " + name);
            mGroup.awaitAppliedEverywhere(mGroup.proposedCommands());
        }
        assertThat(mGroup.voterCount()).isEqualTo(3);
    }

    @Test
    void aMemberThatLostItsDiskFormsNoSecondGroup() {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        String first = mGroup.names().getFirst();
        mGroup.stopAll();

        mGroup.restartWithEmptyDisk(first);
        mGroup.restart(mGroup.names().get(1));
        mGroup.restart(mGroup.names().get(2));

        assertThat(mGroup.propose("second")).isEqualTo("result 2");
        assertThat(mGroup.member(first).status().role()).isEqualTo(LogStatus.Role.LEARNER);
    }

    @Test
    void aMinorityRefusesReads() {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Member leader = mGroup.leader();
        mGroup.closeAllExcept(leader.name());

        assertCode(ErrorCode.NO_QUORUM, leader::confirmReadUntilRefused);
    }

    /** A failed sync ended the member for good; what the sync may have lost is written again. */
    @Test
    void aMemberWhoseSyncFailedAcknowledgesNothingUntilItIsWrittenAgain() {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk();
        LogGroup.Member member = mGroup.startOnlyMember("alone", disk);
        member.propose("first").join();
        disk.setSyncFails(true);

        assertCode(ErrorCode.OUTCOME_UNKNOWN, () -> member.propose("second").join());
        assertCode(ErrorCode.STORAGE_REFUSED, () -> member.propose("third").join());
        assertThat(member.appliedCommands()).isEqualTo(1);

        disk.setSyncFails(false);
        mGroup.awaitTrue("the lost write is repeated", () -> member.appliedCommands() == 2);
        member.propose("fourth").join();
        member.close();
        disk.crash(new Random(1));
        LogGroup.Member restarted = mGroup.startOnlyMember("alone", disk);
        mGroup.awaitTrue("the log is applied", () -> restarted.appliedCommands() == 3);
    }

    /** A restarted process reads what the failed sync has lost, and acknowledged more after it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void aRestartAfterAFailedSyncLosesNothingThatIsAcknowledgedAfterwards(int seed) {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk(new Random(seed));
        LogGroup.Member member = mGroup.startOnlyMember("alone", disk);
        member.propose("first").join();
        disk.setSyncFails(true);
        assertThrows(CompletionException.class, () -> member.propose("second").join());
        member.close();
        disk.setSyncFails(false);

        LogGroup.Member restarted = mGroup.startOnlyMember("alone", disk);
        restarted.propose("third").join();
        int applied = restarted.appliedCommands();
        restarted.close();
        disk.crash(new Random(seed));

        LogGroup.Member last = mGroup.startOnlyMember("alone", disk);
        mGroup.awaitTrue("the log is applied", () -> last.appliedCommands() == applied);
    }

    /** A full disk once ended the process, and with it the reads that need no disk. */
    @Test
    void aMemberWhoseDiskIsFullAnswersReadsAndAcceptsCommandsAgainOnceThereIsRoom() {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk();
        LogGroup.Member member = mGroup.startOnlyMember("alone", disk);
        member.propose("first").join();
        disk.setCapacity(0);

        assertCode(ErrorCode.OUTCOME_UNKNOWN, () -> member.propose("second").join());
        assertCode(ErrorCode.STORAGE_REFUSED, () -> member.propose("third").join());
        member.confirmRead().join();
        assertThat(member.appliedCommands()).isEqualTo(1);

        disk.setCapacity(Long.MAX_VALUE);
        mGroup.awaitTrue("the refused write is repeated", () -> member.appliedCommands() == 2);
        member.propose("fourth").join();
        member.close();
        disk.crash(new Random(1));
        LogGroup.Member restarted = mGroup.startOnlyMember("alone", disk);
        mGroup.awaitTrue("the log is applied", () -> restarted.appliedCommands() == 3);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aGroupCommitsWithoutTheFullDiskOfOneMember(boolean isLeaderFull) {
        mGroup = LogGroup.startInMemory(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Member full = isLeaderFull ? mGroup.leader() : mGroup.follower();
        mGroup.disk(full.name()).setCapacity(0);

        for (int round = 0; round < 20; round++) {
            mGroup.leader().propose("command " + round).join();
        }
        mGroup.leader().confirmRead().join();

        mGroup.disk(full.name()).setCapacity(Long.MAX_VALUE);
        mGroup.awaitAppliedEverywhere(21);
    }

    /** With two full disks of three nothing can be durable, whichever member is asked. */
    @Test
    void nothingIsAcknowledgedThatAMajorityCouldNotWrite() {
        mGroup = LogGroup.startInMemory(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Member leader = mGroup.leader();
        mGroup.disk(leader.name()).setCapacity(0);
        mGroup.disk(mGroup.follower().name()).setCapacity(0);

        assertThrows(CompletionException.class, () -> leader.propose("second").join());
        assertThat(leader.appliedCommands()).isEqualTo(1);

        mGroup.names().forEach(name -> mGroup.disk(name).setCapacity(Long.MAX_VALUE));
        assertThat(mGroup.propose("third")).isNotEmpty();
    }

    @Test
    void aCrashKeepsEveryAcknowledgedCommand() {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk();
        for (int round = 0; round < 10; round++) {
            LogGroup.Member member = mGroup.startOnlyMember("alone", disk);
            member.propose("command " + round).join();
            assertThat(member.appliedCommands()).isEqualTo(round + 1);
            member.close();
            disk.crash(new Random(round));
        }
    }

    private static void assertCode(ErrorCode code, Runnable action) {
        CompletionException thrown = assertThrows(CompletionException.class, action::run);
        IbisstandException failure = (IbisstandException) thrown.getCause();
        assertThat(failure.code()).isEqualTo(code);
    }

    /** Lists all commands in order, each once; the result of a command contains its position. */
    static final class CommandList implements StateMachine {
        private final List<String> mCommands = new ArrayList<>();

        @Override
        public byte[] apply(byte[] command) {
            if (!mCommands.contains(text(command))) {
                mCommands.add(text(command));
            }
            return bytes("result " + (mCommands.indexOf(text(command)) + 1));
        }

        @Override
        public byte[] snapshot() {
            return bytes(String.join("\n", mCommands));
        }

        @Override
        public void restore(byte[] snapshot) {
            mCommands.clear();
            text(snapshot).lines().forEach(mCommands::add);
        }

        int count() {
            return mCommands.size();
        }

        String joined() {
            return String.join("\n", mCommands);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
