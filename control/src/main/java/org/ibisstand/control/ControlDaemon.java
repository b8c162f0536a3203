package org.ibisstand.control;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.settings.ControlSettings;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;
import org.tinylog.Logger;

/** One control member: its log, its registry and its servers, until closed. */
public final class ControlDaemon implements AutoCloseable {
    private static final int EVENT_LOOPS = 2;
    private static final long TICK_MILLISECONDS = 100;
    private static final long STATUS_MILLISECONDS = 500;
    private static final long MAXIMUM_OPAQUE_KEYS = 65_536;
    private static final long MAXIMUM_OPAQUE_KEYS_IN_ALL = 1_048_576;
    private static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(5);
    private static final long STOP_SECONDS = 5;
    private static final long LEADERLESS_EPOCH = 1;

    private final ControlSettings mSettings;
    private final Clock mClock;
    private final EventLoopGroup mGroup;
    private final ScheduledExecutorService mControlThread;
    private final Gate mGate = new Gate();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private WireServer mWire;
    private AdministrationServer mAdministration;
    private ControlParts mParts;
    private volatile ControlStatus mStatus;
    private final CompletableFuture<IbisstandException> mFailed = new CompletableFuture<>();
    private volatile boolean mStopping;

    private ControlDaemon(
            ControlSettings settings,
            Clock clock,
            EventLoopGroup group,
            ScheduledExecutorService controlThread) {
        mSettings = settings;
        mClock = clock;
        mGroup = group;
        mControlThread = controlThread;
    }

    /**
     * Starts a member and returns once it listens; it may not have found a leader yet.
     *
     * @param settings of the member
     * @param opener opens the log
     * @throws IbisstandException if a port is taken or the kept state cannot be used
     */
    public static ControlDaemon start(ControlSettings settings, LogOpener opener) {
        ControlDaemon daemon =
                new ControlDaemon(
                        settings,
                        MonotonicClock.start(),
                        new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory()),
                        Executors.newSingleThreadScheduledExecutor(
                                task -> new Thread(task, "control")));
        try {
            daemon.open(opener);
        } catch (IbisstandException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    /** Returns the port that other processes connect to. */
    public int port() {
        return mWire.port();
    }

    /** Returns the port that operators connect to. */
    public int administrationPort() {
        return mAdministration.port();
    }

    /** Returns what this member serves about routing and backend servers. */
    public FleetControl fleet() {
        return mParts.fleet();
    }

    /** Completes if the member cannot go on, as after a failed disk, and must be started again. */
    public CompletableFuture<IbisstandException> failed() {
        return mFailed;
    }

    /** Returns the counts and times of this member. */
    public MetricRegistry metrics() {
        return mMetrics;
    }

    private void open(LogOpener opener) {
        WireContext wire = wireContext();
        InetSocketAddress address =
                new InetSocketAddress(mSettings.wire().host(), mSettings.wire().port());
        mWire = WireServer.start(wire, address, mGate);
        mParts = onControlThread(() -> openParts(opener, wire));
        mStatus = state().join();
        mGate.open(ControlService.create(mControlThread, mParts, mClock));
        addMetrics();
        mAdministration = AdministrationServer.start(mSettings.administration(), mGroup, routes());
        mControlThread.scheduleWithFixedDelay(
                this::tick, 0, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
        mControlThread.scheduleWithFixedDelay(
                this::takeStatus, 0, STATUS_MILLISECONDS, TimeUnit.MILLISECONDS);
        Logger.info(
                "event=control_started member={} port={} administration_port={}",
                mSettings.member(),
                port(),
                administrationPort());
    }

    private WireContext wireContext() {
        return new WireContext(
                mGroup,
                WireSettings.standard(),
                mSettings.member(),
                "control",
                BootIdentifier.create(),
                new SecureRandom());
    }

    private ControlParts openParts(LogOpener opener, WireContext wire) {
        ControlState state = ControlState.empty();
        String address = mSettings.wire().advertised(mWire.port()).toString();
        Log log =
                opener.open(
                        state, new LogContext(mSettings, mControlThread, wire, mClock, address));
        Duration lease = Duration.ofMillis(mSettings.timing().greatestLeaseMilliseconds());
        Registry registry = Registry.create(lease, mClock.instant());
        Proposals proposals = Proposals.create(log, mClock);
        AgentConnections connections = AgentConnections.create();
        WeightRollout rollout =
                new WeightRollout(
                        mControlThread,
                        state,
                        registry,
                        proposals,
                        connections,
                        mClock,
                        mSettings.limits().concurrentWeightLoads());
        return new ControlParts(
                state,
                log,
                proposals,
                ClaimService.create(proposals, claimLimits()),
                registry,
                Watchers.create(state, registry),
                connections,
                rollout,
                Quorum.create(log, mClock),
                new FleetControl(
                        mSettings, mControlThread, state, log, proposals, mClock, wire, address));
    }

    private ClaimLimits claimLimits() {
        return ClaimLimits.newBuilder()
                .setRetentionMilliseconds(mSettings.timing().keyRetentionMilliseconds())
                .setClockToleranceMilliseconds(CLOCK_TOLERANCE.toMillis())
                .setMaximumClaims(mSettings.limits().maximumClaims())
                .setMaximumOpaqueKeys(MAXIMUM_OPAQUE_KEYS)
                .setMaximumOpaqueKeysInAll(MAXIMUM_OPAQUE_KEYS_IN_ALL)
                .build();
    }

    private AdministrationRoutes routes() {
        AdministrationRoutes routes =
                AdministrationRoutes.create(this::reasonAgainst, this::state, mMetrics);
        int maximumBytes = mSettings.limits().maximumConfigurationBytes();
        new ControlRoutes(mControlThread, mParts, maximumBytes).addTo(routes);
        return routes;
    }

    private Optional<String> reasonAgainst() {
        if (mStopping) {
            return Optional.of("the member is stopping");
        }
        return mStatus.confirmed() ? Optional.empty() : Optional.of("no quorum is in touch");
    }

    private void addMetrics() {
        gauge("claims.held", ControlStatus::claims);
        gauge("claims.kept_bytes", ControlStatus::keptAnswerBytes);
        gauge("configuration.revision", ControlStatus::revision);
        gauge("log.open_proposals", ControlStatus::openProposals);
        gauge("log.applied_index", status -> status.log().appliedIndex());
        gauge("registry.agents", status -> status.agents().size());
        gauge("watchers", status -> status.watchers().size());
    }

    private void gauge(String name, Function<ControlStatus, Number> value) {
        mMetrics.registerGauge(name, () -> value.apply(mStatus));
    }

    private void tick() {
        try {
            mParts.quorum().tick();
            mParts.registry().serveAs(registryEpoch(mParts.log().status()), mClock.instant());
            mParts.registry().tick(mClock.instant());
            mParts.watchers().confirm(mParts.quorum().confirmed());
            mParts.watchers().flush();
            mParts.fleet().tick();
            mParts.log().failure().ifPresent(mFailed::complete);
            rollOut();
        } catch (RuntimeException e) {
            LogLine.error("tick_failed").with("member", mSettings.member()).cause(e).write();
        }
    }

    /** The leader's list goes first; a member without a leader serves what it knows as the last. */
    private static long registryEpoch(LogStatus status) {
        if (status.leads()) {
            return status.term() + LEADERLESS_EPOCH;
        }
        return status.leaderAddress().isPresent() ? 0 : LEADERLESS_EPOCH;
    }

    private void rollOut() {
        if (mParts.log().status().leads()) {
            mParts.rollout().tick();
        } else {
            mParts.rollout().stopLeading();
        }
    }

    private void takeStatus() {
        mStatus = ControlStatus.of(mSettings.member(), mParts);
    }

    private CompletableFuture<ControlStatus> state() {
        return CompletableFuture.supplyAsync(
                () -> ControlStatus.of(mSettings.member(), mParts), mControlThread);
    }

    private <T> T onControlThread(Supplier<T> work) {
        try {
            return CompletableFuture.supplyAsync(work, mControlThread).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof IbisstandException failure) {
                throw failure;
            }
            throw e;
        }
    }

    /** Stops listening, ends the log and closes all connections. */
    @Override
    public void close() {
        mStopping = true;
        Optional.ofNullable(mAdministration).ifPresent(AdministrationServer::close);
        Optional.ofNullable(mWire).ifPresent(WireServer::close);
        Optional.ofNullable(mParts).ifPresent(parts -> runOnControlThread(() -> close(parts)));
        stop(mControlThread);
        mGroup.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
        Logger.info("event=control_stopped member={}", mSettings.member());
    }

    private static void close(ControlParts parts) {
        parts.fleet().close();
        parts.log().close();
    }

    private void runOnControlThread(Runnable work) {
        CompletableFuture.runAsync(work, mControlThread).join();
    }

    private static void stop(ExecutorService controlThread) {
        controlThread.shutdownNow();
        try {
            controlThread.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Drops frames until the parts stand; peers resend what has no answer. */
    private static final class Gate implements FrameHandler {
        private volatile Optional<ControlService> mService = Optional.empty();

        void open(ControlService service) {
            mService = Optional.of(service);
        }

        @Override
        public void received(WireConnection connection, Frame frame) {
            mService.ifPresentOrElse(
                    service -> service.received(connection, frame), connection::close);
        }

        @Override
        public void closed(WireConnection connection) {
            mService.ifPresent(service -> service.closed(connection));
        }
    }
}
