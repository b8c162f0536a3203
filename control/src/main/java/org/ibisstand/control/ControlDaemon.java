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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Daemon;
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

/** A running control member with its log, its agent registry and its network servers. */
public final class ControlDaemon implements Daemon {
    private static final int EVENT_LOOPS = 2;
    private static final long TICK_INTERVAL_MILLISECONDS = 100;
    private static final long STATUS_INTERVAL_MILLISECONDS = 500;
    private static final long MAXIMUM_OPAQUE_KEYS_PER_TEAM = 65_536;
    private static final long MAXIMUM_OPAQUE_KEYS_OF_ALL_TEAMS = 1_048_576;
    private static final Duration CLOCK_TOLERANCE = Duration.ofMinutes(5);
    private static final long STOP_TIMEOUT_SECONDS = 5;
    private static final long LEADERLESS_EPOCH = 1;

    private final ControlSettings mSettings;
    private final Clock mClock;
    private final EventLoopGroup mEventLoopGroup;
    private final ScheduledExecutorService mControlThread;
    private final StartupHandler mStartupHandler = new StartupHandler();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private WireServer mWireServer;
    private AdministrationServer mAdministrationServer;
    private ControlComponents mComponents;
    private volatile ControlStatus mStatus;
    private final CompletableFuture<IbisstandException> mFailed = new CompletableFuture<>();
    private volatile boolean mStopping;

    private ControlDaemon(
            ControlSettings settings,
            Clock clock,
            EventLoopGroup eventLoopGroup,
            ScheduledExecutorService controlThread) {
        mSettings = settings;
        mClock = clock;
        mEventLoopGroup = eventLoopGroup;
        mControlThread = controlThread;
    }

    /**
     * Starts a member and returns once it listens; there may be no leader yet.
     *
     * @param settings the settings of the member
     * @param opener opens the log
     * @throws IbisstandException if a port is in use or the stored state cannot be used
     */
    public static ControlDaemon start(ControlSettings settings, LogOpener opener) {
        ControlDaemon daemon =
                new ControlDaemon(
                        settings,
                        MonotonicClock.start(),
                        new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory()),
                        new LoggingScheduler("control", LogLine::write));
        try {
            daemon.openMember(opener);
        } catch (IbisstandException e) {
            daemon.close();
            throw e;
        }
        return daemon;
    }

    /** Returns the port for connections of other processes. */
    public int port() {
        return mWireServer.port();
    }

    /** Returns the port for the administration interface. */
    public int administrationPort() {
        return mAdministrationServer.port();
    }

    /** Returns the service for routing configurations and backend servers. */
    public FleetControl fleet() {
        return mComponents.fleet();
    }

    /**
     * Completes with the failure if the member cannot continue, for example after a disk failure,
     * and must be restarted.
     */
    public CompletableFuture<IbisstandException> failed() {
        return mFailed;
    }

    /** Returns the metrics of this member. */
    public MetricRegistry metrics() {
        return mMetrics;
    }

    private void openMember(LogOpener opener) {
        WireContext wire = wireContext();
        InetSocketAddress address =
                new InetSocketAddress(mSettings.wire().host(), mSettings.wire().port());
        mWireServer = WireServer.start(wire, address, mStartupHandler);
        mComponents = callOnControlThread(() -> createComponents(opener, wire));
        mStatus = readStatus().join();
        mStartupHandler.setService(ControlService.create(mControlThread, mComponents, mClock));
        addMetrics();
        mAdministrationServer =
                AdministrationServer.start(mSettings.administration(), mEventLoopGroup, routes());
        mControlThread.scheduleWithFixedDelay(
                this::tick, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        mControlThread.scheduleWithFixedDelay(
                this::refreshStatus, 0, STATUS_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS);
        Logger.info(
                "event=control_started member={} port={} administration_port={}",
                mSettings.member(),
                port(),
                administrationPort());
    }

    private WireContext wireContext() {
        return new WireContext(
                mEventLoopGroup,
                WireSettings.standard(),
                mSettings.member(),
                "control",
                BootIdentifier.create(),
                new SecureRandom());
    }

    private ControlComponents createComponents(LogOpener opener, WireContext wire) {
        ControlState state = ControlState.empty();
        String address = mSettings.wire().advertised(mWireServer.port()).toString();
        Log log =
                opener.open(
                        state, new LogContext(mSettings, mControlThread, wire, mClock, address));
        Duration lease = Duration.ofMillis(mSettings.timing().greatestLeaseMilliseconds());
        Registry registry = Registry.create(lease, mClock.instant());
        CommandProposer proposer = CommandProposer.create(log, mClock);
        AgentConnections connections = AgentConnections.create();
        WeightRollout rollout =
                new WeightRollout(
                        mControlThread,
                        state,
                        registry,
                        proposer,
                        connections,
                        mClock,
                        mSettings.limits().concurrentWeightLoads());
        return new ControlComponents(
                state,
                log,
                proposer,
                ClaimService.create(proposer, claimLimits()),
                registry,
                Watchers.create(state, registry),
                connections,
                rollout,
                QuorumMonitor.create(log, mClock),
                new FleetControl(
                        mSettings, mControlThread, state, log, proposer, mClock, wire, address),
                new QuotaService(
                        state,
                        log,
                        new LeadershipCheck(log, mClock, leadershipValidity()),
                        mControlThread,
                        mClock,
                        mMetrics));
    }

    /**
     * A majority that confirmed the leader votes for no other within an election timeout; the rest
     * of the timeout covers clocks that run at different speeds.
     */
    private Duration leadershipValidity() {
        return Duration.ofMillis(mSettings.timing().electionTimeoutMilliseconds()).dividedBy(4);
    }

    private ClaimLimits claimLimits() {
        return ClaimLimits.newBuilder()
                .setRetentionMilliseconds(mSettings.timing().keyRetentionMilliseconds())
                .setClockToleranceMilliseconds(CLOCK_TOLERANCE.toMillis())
                .setMaximumClaims(mSettings.limits().maximumClaims())
                .setMaximumOpaqueKeys(MAXIMUM_OPAQUE_KEYS_PER_TEAM)
                .setMaximumOpaqueKeysInAll(MAXIMUM_OPAQUE_KEYS_OF_ALL_TEAMS)
                .build();
    }

    private AdministrationRoutes routes() {
        AdministrationRoutes routes =
                AdministrationRoutes.create(this::notReadyReason, this::readStatus, mMetrics);
        int maximumBytes = mSettings.limits().maximumConfigurationBytes();
        new ControlRoutes(mControlThread, mComponents, maximumBytes).addTo(routes);
        return routes;
    }

    private Optional<String> notReadyReason() {
        if (mStopping) {
            return Optional.of("the member is stopping");
        }
        return mStatus.confirmed()
                ? Optional.empty()
                : Optional.of("this member is not connected to a quorum");
    }

    private void addMetrics() {
        gauge("claims.held", ControlStatus::claims);
        gauge("claims.kept_bytes", ControlStatus::keptAnswerBytes);
        gauge("configuration.revision", ControlStatus::revision);
        gauge("log.open_proposals", ControlStatus::openProposals);
        gauge("log.applied_index", status -> status.log().appliedIndex());
        gauge("log.storage_refused", status -> mComponents.log().isStorageRefused() ? 1 : 0);
        gauge("registry.agents", status -> status.agents().size());
        gauge("watchers", status -> status.watchers().size());
    }

    private void gauge(String name, Function<ControlStatus, Number> value) {
        mMetrics.registerGauge(name, () -> value.apply(mStatus));
    }

    private void tick() {
        mComponents.log().failure().ifPresent(mFailed::complete);
        try {
            mComponents.quorum().tick();
            mComponents
                    .registry()
                    .setEpoch(registryEpoch(mComponents.log().status()), mClock.instant());
            mComponents.registry().tick(mClock.instant());
            mComponents.watchers().setConfirmed(mComponents.quorum().isConfirmed());
            mComponents.watchers().flush();
            mComponents.fleet().tick();
            mComponents.quotas().tick();
            tickRollout();
        } catch (RuntimeException e) {
            LogLine.error("tick_failed").with("member", mSettings.member()).cause(e).write();
        }
    }

    /**
     * Returns the epoch of this member's agent list, zero if it serves none. A leader has a higher
     * epoch than any member that knows no leader, whose own list is used only as a last resort.
     */
    private static long registryEpoch(LogStatus status) {
        if (status.leads()) {
            return status.term() + LEADERLESS_EPOCH;
        }
        return status.leaderAddress().isPresent() ? 0 : LEADERLESS_EPOCH;
    }

    private void tickRollout() {
        if (mComponents.log().status().leads()) {
            mComponents.rollout().tick();
        } else {
            mComponents.rollout().stopLeading();
        }
    }

    private void refreshStatus() {
        mStatus = ControlStatus.of(mSettings.member(), mComponents);
    }

    private CompletableFuture<ControlStatus> readStatus() {
        return CompletableFuture.supplyAsync(
                () -> ControlStatus.of(mSettings.member(), mComponents), mControlThread);
    }

    private <T> T callOnControlThread(Supplier<T> task) {
        try {
            return CompletableFuture.supplyAsync(task, mControlThread).join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof IbisstandException failure) {
                throw failure;
            }
            throw e;
        }
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopping = true;
        return mComponents.fleet().depart();
    }

    /** Stops listening, stops the log and closes all connections. */
    @Override
    public void close() {
        mStopping = true;
        Optional.ofNullable(mAdministrationServer).ifPresent(AdministrationServer::close);
        Optional.ofNullable(mWireServer).ifPresent(WireServer::close);
        Optional.ofNullable(mComponents)
                .ifPresent(components -> runOnControlThread(() -> close(components)));
        stop(mControlThread);
        mEventLoopGroup
                .shutdownGracefully(0, STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly();
        Logger.info("event=control_stopped member={}", mSettings.member());
    }

    private static void close(ControlComponents components) {
        components.fleet().close();
        components.log().close();
    }

    private void runOnControlThread(Runnable task) {
        CompletableFuture.runAsync(task, mControlThread).join();
    }

    private static void stop(ExecutorService controlThread) {
        controlThread.shutdownNow();
        try {
            controlThread.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Closes connections that send frames before the member has started; the peers then resend what
     * was not answered.
     */
    private static final class StartupHandler implements FrameHandler {
        private volatile Optional<ControlService> mService = Optional.empty();

        void setService(ControlService service) {
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
