package org.ibisstand.control;

import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.settings.SettingsReader;
import org.ibisstand.storage.Disk;
import org.ibisstand.storage.FolderDisk;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;

/** Several replicated logs in this process, joined over loopback, each on its own folder. */
final class LogGroup implements AutoCloseable {
    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final int POLL_MILLIS = 5;

    private final Path mFolder;
    private final Clock mClock = MonotonicClock.start();
    private final ScheduledExecutorService mTimer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Integer> mPorts = new LinkedHashMap<>();
    private final Map<String, Integer> mDisks = new LinkedHashMap<>();
    private final Map<String, Running> mRunning = new LinkedHashMap<>();
    private int mProposed;

    private LogGroup(Path folder) {
        mFolder = folder;
    }

    static LogGroup start(Path folder, int size) {
        LogGroup group = new LogGroup(folder);
        for (int number = 1; number <= size; number++) {
            group.mPorts.put("control-" + number, freePort());
        }
        group.names().forEach(group::restart);
        return group;
    }

    List<String> names() {
        return List.copyOf(mPorts.keySet());
    }

    int proposed() {
        return mProposed;
    }

    Running member(String name) {
        return mRunning.get(name);
    }

    void restart(String name) {
        Path folder = mFolder.resolve(name + "-" + mDisks.getOrDefault(name, 0));
        mRunning.put(name, new Running(name, settings(name), FolderDisk.open(folder)));
    }

    void restartWithEmptyDisk(String name) {
        mDisks.merge(name, 1, Integer::sum);
        restart(name);
    }

    void loseDisk(String name) {
        member(name).close();
        restartWithEmptyDisk(name);
    }

    Running startOn(String name, Disk disk) {
        mPorts.keySet().retainAll(List.of());
        mPorts.put(name, freePort());
        Running running = new Running(name, settings(name), disk);
        mRunning.put(name, running);
        awaitTrue("a leader", () -> running.status().leads());
        return running;
    }

    void restartAll() {
        stopAll();
        names().forEach(this::restart);
    }

    void stopAll() {
        mRunning.values().forEach(Running::close);
    }

    void closeAllBut(String name) {
        mRunning.values().stream()
                .filter(running -> !running.name().equals(name))
                .forEach(Running::close);
    }

    Running leader() {
        awaitTrue("a leader", () -> findLeader().isPresent());
        return findLeader().orElseThrow();
    }

    Running follower() {
        Running leader = leader();
        return mRunning.values().stream().filter(one -> one != leader).findFirst().orElseThrow();
    }

    /** Proposes at whoever leads, again after a failure; the state takes each command once. */
    String propose(String command) {
        mProposed++;
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
            Running leader = leader();
            try {
                leader.call(() -> leader.mLog.addMember(new LogMember(name, address, false)))
                        .join();
                return;
            } catch (CompletionException e) {
                leader();
            }
        }
    }

    long voters() {
        return leader().status().members().stream().filter(LogMember::voter).count();
    }

    void awaitEverywhere(int count) {
        awaitTrue(
                count + " commands everywhere",
                () -> running().allMatch(running -> running.applied() == count));
        List<String> states = running().map(Running::state).distinct().toList();
        assertWithMessage("states").that(states).hasSize(1);
    }

    @Override
    public void close() {
        stopAll();
        mTimer.shutdownNow();
    }

    private Stream<Running> running() {
        return mRunning.values().stream().filter(running -> !running.mClosed);
    }

    private Optional<Running> findLeader() {
        return running().filter(running -> running.status().leads()).findFirst();
    }

    private void awaitTrue(String what, BooleanSupplier condition) {
        Instant end = mClock.instant().plus(PATIENCE);
        while (!condition.getAsBoolean()) {
            assertWithMessage("waited in vain for %s: %s", what, describe())
                    .that(mClock.instant())
                    .isLessThan(end);
            pause();
        }
    }

    private void pause() {
        CompletableFuture.runAsync(
                        () -> {},
                        CompletableFuture.delayedExecutor(
                                POLL_MILLIS, TimeUnit.MILLISECONDS, mTimer))
                .join();
    }

    private String describe() {
        return running()
                .map(running -> "\n" + running.status() + " applied " + running.applied())
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
                                + "'timing':{'election_timeout_milliseconds':300,"
                                + "'heartbeat_milliseconds':50}}")
                        .formatted(
                                name, mPorts.get(name), "0".repeat(64), String.join(",", members));
        return SettingsReader.create()
                .readControl(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
    }

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One member with its own threads, as in a process of its own. */
    final class Running implements FrameHandler, AutoCloseable {
        private final String mName;
        private final EventLoopGroup mLoops =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        private final ScheduledExecutorService mControlThread =
                Executors.newSingleThreadScheduledExecutor();
        private final ReplicatedLogTest.Commands mCommands = new ReplicatedLogTest.Commands();
        private final WireServer mServer;
        private final ReplicatedLog mLog;
        private boolean mClosed;

        Running(String name, ControlSettings settings, Disk disk) {
            mName = name;
            WireContext wire =
                    new WireContext(
                            mLoops,
                            WireSettings.standard(),
                            name,
                            "control",
                            BootIdentifier.create(),
                            new SecureRandom());
            String address = "127.0.0.1:" + mPorts.get(name);
            LogContext context = new LogContext(settings, mControlThread, wire, mClock, address);
            mLog = onControlThread(() -> ReplicatedLog.open(mCommands, context, disk)).join();
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
            return onControlThread(mLog::status).join();
        }

        int applied() {
            return onControlThread(mCommands::count).join();
        }

        String state() {
            return onControlThread(mCommands::all).join();
        }

        CompletableFuture<byte[]> propose(String command) {
            return call(() -> mLog.propose(ReplicatedLogTest.bytes(command)));
        }

        void confirmReadUntilRefused() {
            while (true) {
                call(mLog::confirmRead).orTimeout(PATIENCE.toSeconds(), TimeUnit.SECONDS).join();
            }
        }

        <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> work) {
            return onControlThread(work).thenCompose(future -> future);
        }

        @Override
        public void close() {
            if (mClosed) {
                return;
            }
            mClosed = true;
            mServer.close();
            onControlThread(
                            () -> {
                                mLog.close();
                                return true;
                            })
                    .join();
            mControlThread.shutdownNow();
            mLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }

        private <T> CompletableFuture<T> onControlThread(Supplier<T> work) {
            return CompletableFuture.supplyAsync(work, mControlThread);
        }
    }
}
