package org.ibisstand.agent;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Daemon;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;

/** The process beside one backend server: queues, runs and records the requests sent to it. */
public final class AgentDaemon implements Daemon {
    private static final int TRAFFIC_THREADS = 2;
    private static final long EXPIRY_MILLISECONDS = 1_000;
    private static final long DRAIN_POLL_MILLISECONDS = 20;

    private final AgentSettings mSettings;
    private final EventLoopGroup mTraffic;
    private final EventLoop mControlThread;
    private final WireServer mServer;
    private final HttpBackend mBackend;
    private final ControlClient mControl;
    private final AdministrationServer mAdministration;
    private final Workload mWorkload;
    private final Streams mStreams;
    private final Announcer mAnnouncer;
    private final Clock mClock;

    private AgentDaemon(
            AgentSettings settings,
            EventLoopGroup traffic,
            EventLoop controlThread,
            WireServer server,
            HttpBackend backend,
            ControlClient control,
            AdministrationServer administration,
            Workload workload,
            Streams streams,
            Announcer announcer,
            Clock clock) {
        mSettings = settings;
        mTraffic = traffic;
        mControlThread = controlThread;
        mServer = server;
        mBackend = backend;
        mControl = control;
        mAdministration = administration;
        mWorkload = workload;
        mStreams = streams;
        mAnnouncer = announcer;
        mClock = clock;
    }

    /**
     * Starts an agent and announces it to control.
     *
     * @param settings where it listens and which backend server it serves
     * @throws org.ibisstand.base.IbisstandException with PORT_IN_USE if it cannot listen
     */
    public static AgentDaemon start(AgentSettings settings) {
        MonotonicClock clock = MonotonicClock.start();
        BootIdentifier boot = BootIdentifier.create();
        EventLoopGroup traffic =
                new MultiThreadIoEventLoopGroup(
                        TRAFFIC_THREADS,
                        new DefaultThreadFactory("traffic"),
                        NioIoHandler.newFactory());
        EventLoop controlThread = new DefaultEventLoop(new DefaultThreadFactory("control"));
        MetricRegistry metrics = new MetricRegistry();
        WireContext wire = wireContext(settings, traffic, boot);
        ControlClient control =
                ControlClient.connect(
                        wire, clock, controlMembers(settings), (connection, frame) -> {});
        HttpBackend backend = backend(settings, traffic);
        LoadedModels loaded = new LoadedModels(controlThread);
        AgentWork work =
                AgentWork.create(
                        settings, boot, clock, controlThread, backend, control, loaded, metrics);
        WireServer server =
                WireServer.start(
                        wire,
                        new InetSocketAddress(settings.wire().host(), settings.wire().port()),
                        work.handler());
        String address = settings.wire().advertised(server.port()).toString();
        Announcer announcer = new Announcer(settings, boot, address, control, controlThread);
        loaded.announceBy(announcer);
        AdministrationServer administration =
                AdministrationServer.start(
                        settings.administration(),
                        traffic,
                        AdministrationRoutes.create(
                                () -> reasonAgainst(announcer),
                                () ->
                                        CompletableFuture.supplyAsync(
                                                () ->
                                                        AgentReport.of(
                                                                settings, boot, work, announcer),
                                                controlThread),
                                metrics));
        AgentDaemon daemon =
                new AgentDaemon(
                        settings,
                        traffic,
                        controlThread,
                        server,
                        backend,
                        control,
                        administration,
                        work.workload(),
                        work.streams(),
                        announcer,
                        clock);
        daemon.run();
        return daemon;
    }

    /** Returns the port that entries connect to. */
    public int port() {
        return mServer.port();
    }

    /** Returns the port that operators connect to. */
    public int administrationPort() {
        return mAdministration.port();
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mControlThread.execute(() -> leave(stopped));
        return stopped;
    }

    @Override
    public void close() {
        mServer.close();
        mControl.close();
        mAdministration.close();
        mBackend.close();
        mControlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mTraffic.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run() {
        mAnnouncer.start();
        mControlThread.scheduleAtFixedRate(
                this::expire, EXPIRY_MILLISECONDS, EXPIRY_MILLISECONDS, TimeUnit.MILLISECONDS);
        LogLine.info("started")
                .with("role", "agent")
                .with("agent", mSettings.agent())
                .with("port", port())
                .with("administration", administrationPort())
                .write();
    }

    private void expire() {
        mWorkload.expire();
        mStreams.forgetDelivered();
    }

    private void leave(CompletableFuture<Void> stopped) {
        LogLine.info("leaving").with("in_progress", mWorkload.inProgress()).write();
        mAnnouncer.leave();
        mWorkload.leave();
        awaitDrained(stopped, mClock.millis() + mSettings.timing().gracefulStopMilliseconds());
    }

    private void awaitDrained(CompletableFuture<Void> stopped, long limitMilliseconds) {
        mStreams.forgetDelivered();
        boolean drained = mWorkload.inProgress() == 0 && mStreams.size() == 0;
        if (drained || mClock.millis() >= limitMilliseconds) {
            LogLine.info("stopped").with("in_progress", mWorkload.inProgress()).write();
            stopped.complete(null);
            return;
        }
        mControlThread.schedule(
                () -> awaitDrained(stopped, limitMilliseconds),
                DRAIN_POLL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    private static Optional<String> reasonAgainst(Announcer announcer) {
        if (announcer.isLeaving()) {
            return Optional.of("leaving");
        }
        return announcer.isAnnounced() ? Optional.empty() : Optional.of("not announced");
    }

    private static WireContext wireContext(
            AgentSettings settings, EventLoopGroup traffic, BootIdentifier boot) {
        return new WireContext(
                traffic,
                WireSettings.standard(),
                settings.agent(),
                "agent",
                boot,
                new SecureRandom());
    }

    private static List<InetSocketAddress> controlMembers(AgentSettings settings) {
        return settings.controlAddresses().stream().map(AgentDaemon::socketAddress).toList();
    }

    private static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }

    private static HttpBackend backend(AgentSettings settings, EventLoopGroup traffic) {
        return HttpBackend.create(
                settings.backend().baseUrl(),
                traffic,
                Duration.ofMillis(settings.timing().backendConnectTimeoutMilliseconds()),
                Duration.ofMillis(settings.timing().backendIdleTimeoutMilliseconds()));
    }
}
