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
    void everyMemberAppliesWhatWasCommitted(int size) {
        mGroup = LogGroup.start(mFolder, size);
        for (int number = 1; number <= 20; number++) {
            assertThat(mGroup.propose("command " + number)).isEqualTo("result " + number);
        }

        mGroup.awaitEverywhere(20);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberHundredsOfCommandsBehindCatchesUp(boolean fromSnapshot) {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Running follower = mGroup.follower();
        follower.close();
        for (int number = 2; number <= 300; number++) {
            mGroup.propose("command " + number);
        }

        if (fromSnapshot) {
            mGroup.restartAll();
        } else {
            mGroup.restart(follower.name());
        }

        mGroup.awaitEverywhere(300);
    }

    @Test
    void theOthersGoOnWithoutTheLeaderAndItRejoins() {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Running leader = mGroup.leader();
        leader.close();

        mGroup.propose("second");
        mGroup.restart(leader.name());

        mGroup.awaitEverywhere(2);
    }

    @Test
    void aWholeGroupThatRestartsKeepsEverything() {
        mGroup = LogGroup.start(mFolder, 3);
        for (int number = 1; number <= 50; number++) {
            mGroup.propose("command " + number);
        }
        mGroup.restartAll();

        mGroup.propose("last");
        mGroup.awaitEverywhere(51);
    }

    @Test
    void lostDisksAreReplacedOneAfterAnother() {
        mGroup = LogGroup.start(mFolder, 3);
        for (int number = 1; number <= 30; number++) {
            mGroup.propose("command " + number);
        }
        for (String name : mGroup.names()) {
            mGroup.loseDisk(name);
            mGroup.addMember(name);
            mGroup.propose("after the loss of " + name);
            mGroup.awaitEverywhere(mGroup.proposed());
        }
        assertThat(mGroup.voters()).isEqualTo(3);
    }

    @Test
    void aMemberThatLostItsDiskFoundsNoSecondGroup() {
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
    void aMinorityRefusesReadsAndCommands() {
        mGroup = LogGroup.start(mFolder, 3);
        mGroup.propose("first");
        LogGroup.Running leader = mGroup.leader();
        mGroup.closeAllBut(leader.name());

        assertCode(ErrorCode.NO_QUORUM, leader::confirmReadUntilRefused);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberWhoseDiskFailsAnswersNothingMore(boolean full) {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk();
        LogGroup.Running member = mGroup.startOn("alone", disk);
        member.propose("first").join();
        if (full) {
            disk.setCapacity(0);
        } else {
            disk.setSyncFails(true);
        }

        assertCode(ErrorCode.STORAGE_FAILED, () -> member.propose("second").join());
        disk.setSyncFails(false);
        disk.setCapacity(Long.MAX_VALUE);
        assertCode(ErrorCode.STORAGE_FAILED, () -> member.propose("third").join());
        assertThat(member.status().leads()).isFalse();
    }

    @Test
    void aCrashKeepsEverythingThatWasAnswered() {
        mGroup = LogGroup.start(mFolder, 1);
        MemoryDisk disk = new MemoryDisk();
        for (int round = 0; round < 10; round++) {
            LogGroup.Running member = mGroup.startOn("alone", disk);
            member.propose("command " + round).join();
            assertThat(member.applied()).isEqualTo(round + 1);
            member.close();
            disk.crash(new Random(round));
        }
    }

    private static void assertCode(ErrorCode code, Runnable action) {
        CompletionException thrown = assertThrows(CompletionException.class, action::run);
        IbisstandException failure = (IbisstandException) thrown.getCause();
        assertThat(failure.code()).isEqualTo(code);
    }

    /** All commands in order, each once; the result of each names its position. */
    static final class Commands implements StateMachine {
        private final List<String> mAll = new ArrayList<>();

        @Override
        public byte[] apply(byte[] command) {
            if (!mAll.contains(text(command))) {
                mAll.add(text(command));
            }
            return bytes("result " + (mAll.indexOf(text(command)) + 1));
        }

        @Override
        public byte[] snapshot() {
            return bytes(String.join("\n", mAll));
        }

        @Override
        public void restore(byte[] snapshot) {
            mAll.clear();
            text(snapshot).lines().forEach(mAll::add);
        }

        int count() {
            return mAll.size();
        }

        String all() {
            return String.join("\n", mAll);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
