package org.ibisstand.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.SettingsReader;
import org.ibisstand.storage.Disk;
import org.ibisstand.storage.FolderDisk;
import org.ibisstand.storage.MemoryDisk;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;

/**
 * A group of replicated logs in this process, connected over loopback, each with its own folder.
 */
final class LogGroup implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final int POLL_INTERVAL_MILLISECONDS = 5;
    private static final int ELECTION_TIMEOUT_MILLISECONDS = 300;

    private final Path mFolder;
    private final Clock mClock = MonotonicClock.start();
    private final ScheduledExecutorService mPollTimer =
            Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();
    private final Map<String, Integer> mDiskNumbers = new LinkedHashMap<>();
    private final Map<String, Member> mMembers = new LinkedHashMap<>();
    private final Map<String, MemoryDisk> mDisks = new LinkedHashMap<>();
    private final int mElectionTimeoutMilliseconds;
    private int mProposedCommands;

    private LogGroup(Path folder, int electionTimeoutMilliseconds) {
        mFolder = folder;
        mElectionTimeoutMilliseconds = electionTimeoutMilliseconds;
    }

    static LogGroup start(Path folder, int size) {
        LogGroup group = new LogGroup(folder, ELECTION_TIMEOUT_MILLISECONDS);
        for (int number = 1; number <= size; number++) {
            group.mPorts.put("control-" + number, FreePorts.next());
        }
        group.names().forEach(group::restart);
        return group;
    }

    /** Starts a group whose disks are in memory, so that they can be filled. */
    static LogGroup startInMemory(Path folder, int size) {
        return startInMemory(folder, size, ELECTION_TIMEOUT_MILLISECONDS);
    }

    static LogGroup startInMemory(Path folder, int size, int electionTimeoutMilliseconds) {
        LogGroup group = new LogGroup(folder, electionTimeoutMilliseconds);
        for (int number = 1; number <= size; number++) {
            group.mPorts.put("control-" + number, FreePorts.next());
        }
        group.names().forEach(name -> group.mDisks.put(name, new MemoryDisk()));
        group.names().forEach(group::restart);
        return group;
    }

    /** Returns the disk of a member of a group that was started in memory. */
    MemoryDisk disk(String name) {
        return mDisks.get(name);
    }

    List<String> names() {
        return List.copyOf(mPorts.keySet());
    }

    int proposedCommands() {
        return mProposedCommands;
    }

    Member member(String name) {
        return mMembers.get(name);
    }

    void restart(String name) {
        if (mDisks.containsKey(name)) {
            mMembers.put(name, new Member(name, settings(name), mDisks.get(name)));
            return;
        }
        Path folder = mFolder.resolve(name + "-" + mDiskNumbers.getOrDefault(name, 0));
        mMembers.put(name, new Member(name, settings(name), FolderDisk.open(folder)));
    }

    void restartWithEmptyDisk(String name) {
        mDiskNumbers.merge(name, 1, Integer::sum);
        restart(name);
    }

    void loseDisk(String name) {
        member(name).close();
        restartWithEmptyDisk(name);
    }

    Member startOnlyMember(String name, Disk disk) {
        mPorts.keySet().retainAll(List.of());
        mPorts.put(name, FreePorts.next());
        Member member = new Member(name, settings(name), disk);
        mMembers.put(name, member);
        awaitTrue("a leader", () -> member.status().leads());
        return member;
    }

    void restartAll() {
        stopAll();
        names().forEach(this::restart);
    }

    void stopAll() {
        mMembers.values().forEach(Member::close);
    }

    void closeAllExcept(String name) {
        mMembers.values().stream()
                .filter(member -> !member.name().equals(name))
                .forEach(Member::close);
    }

    Member leader() {
        awaitTrue("a leader", () -> findLeader().isPresent());
        return findLeader().orElseGet(this::leader);
    }

    Member follower() {
        Member leader = leader();
        return mMembers.values().stream()
                .filter(member -> member != leader)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Proposes a command to the current leader and retries after a failure. The state machine
     * applies a repeated command once.
     */
    String propose(String command) {
        mProposedCommands++;
        while (true) {
            try {
                return ReplicatedLogTest.text(leader().propose(command).join());
            } catch (CompletionException e) {
                leader();
            }
        }
    }

    void addMember(String name) {
        String address = "127.0.0.1:" + mPorts.get(name);
        while (true) {
            Member leader = leader();
            try {
                leader.callLog(
                                () ->
                                        leader.mLog.addMember(
                                                new LogMember(name, address, false), true))
                        .join();
                return;
            } catch (CompletionException e) {
                leader();
            }
        }
    }

    long voterCount() {
        return leader().status().members().stream().filter(LogMember::voter).count();
    }

    void awaitAppliedEverywhere(int count) {
        awaitTrue(
                count + " commands applied by every running member",
                () -> runningMembers().allMatch(member -> member.appliedCommands() == count));
        List<String> states = runningMembers().map(Member::stateText).distinct().toList();
        assertWithMessage("distinct states of the running members").that(states).hasSize(1);
    }

    @Override
    public void close() {
        stopAll();
        mPollTimer.shutdownNow();
    }

    private Stream<Member> runningMembers() {
        return mMembers.values().stream().filter(member -> !member.mClosed);
    }

    private Optional<Member> findLeader() {
        return runningMembers().filter(member -> member.status().leads()).findFirst();
    }

    void awaitTrue(String description, BooleanSupplier condition) {
        Instant deadline = mClock.instant().plus(TIMEOUT);
        while (!condition.getAsBoolean()) {
            assertWithMessage("timed out while waiting for %s: %s", description, describeMembers())
                    .that(mClock.instant())
                    .isLessThan(deadline);
            waitPollInterval();
        }
    }

    private void waitPollInterval() {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(
                                POLL_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS, mPollTimer))
                .join();
    }

    private String describeMembers() {
        return runningMembers()
                .map(member -> "\n" + member.status() + " applied " + member.appliedCommands())
                .collect(Collectors.joining());
    }

    private ControlSettings settings(String name) {
        List<String> members = new ArrayList<>();
        mPorts.forEach(
                (member, port) ->
                        members.add(
                                "{'member':'%s','address':'127.0.0.1:%d'}"
                                        .formatted(member, port)));
        String json =
                ("{'member':'%s','zone':'a','wire':{'host':'127.0.0.1','port':%d},"
                                + "'administration':{'host':'127.0.0.1','port':0,"
                                + "'operator_token_sha256':'%s'},'data_folder':'unused',"
                                + "'members':[%s],'limits':{'snapshot_after_entries':100},"
                                + "'timing':{'election_timeout_milliseconds':%d,"
                                + "'heartbeat_milliseconds':50}}")
                        .formatted(
                                name,
                                mPorts.get(name),
                                "0".repeat(64),
                                String.join(",", members),
                                mElectionTimeoutMilliseconds);
        return SettingsReader.create()
                .readControl(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    /** A member with its own threads, as if it ran in a separate process. */
    final class Member implements FrameHandler, AutoCloseable {
        private final String mName;
        private final EventLoopGroup mEventLoopGroup =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final ScheduledExecutorService mControlThread =
                new LoggingScheduler("control", LogLine::write);
        private final ReplicatedLogTest.CommandList mStateMachine =
                new ReplicatedLogTest.CommandList();
        private final WireServer mServer;
        private final ReplicatedLog mLog;
        private boolean mClosed;

        Member(String name, ControlSettings settings, Disk disk) {
            mName = name;
            WireContext wire =
                    new WireContext(
                            mEventLoopGroup,
                            WireSettings.standard(),
                            name,
                            "control",
                            BootIdentifier.create(),
                            new SecureRandom());
            String address = "127.0.0.1:" + mPorts.get(name);
            LogContext context = new LogContext(settings, mControlThread, wire, mClock, address);
            mLog =
                    callOnControlThread(() -> ReplicatedLog.open(mStateMachine, context, disk))
                            .join();
            mServer =
                    WireServer.start(
                            wire, new InetSocketAddress("127.0.0.1", mPorts.get(name)), this);
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            mControlThread.execute(() -> mLog.received(connection, frame.getConsensus()));
        }

        String name() {
            return mName;
        }

        LogStatus status() {
            return callOnControlThread(mLog::status).join();
        }

        int appliedCommands() {
            return callOnControlThread(mStateMachine::count).join();
        }

        boolean isStorageRefused() {
            return mLog.isStorageRefused();
        }

        String stateText() {
            return callOnControlThread(mStateMachine::joined).join();
        }

        CompletableFuture<byte[]> propose(String command) {
            return callLog(() -> mLog.propose(ReplicatedLogTest.bytes(command)));
        }

        CompletableFuture<Void> confirmRead() {
            return callLog(mLog::confirmRead).orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        }

        void confirmReadUntilRefused() {
            while (true) {
                confirmRead().join();
            }
        }

        <T> CompletableFuture<T> callLog(Supplier<CompletableFuture<T>> task) {
            return callOnControlThread(task).thenCompose(future -> future);
        }

        @Override
        public void close() {
            if (mClosed) {
                return;
            }
            mClosed = true;
            mServer.close();
            callOnControlThread(
                            () -> {
                                mLog.close();
                                return true;
                            })
                    .join();
            mControlThread.shutdownNow();
            mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }

        private <T> CompletableFuture<T> callOnControlThread(Supplier<T> task) {
            return CompletableFuture.supplyAsync(task, mControlThread);
        }
    }
}
