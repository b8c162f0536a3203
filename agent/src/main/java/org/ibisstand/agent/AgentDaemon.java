package org.ibisstand.agent;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.base.Daemon;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.BackendServer;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.WireServer;

/** The process beside one backend server: queues, runs and records the requests sent to it. */
public final class AgentDaemon implements Daemon {
    private static final long EXPIRY_MILLISECONDS = 1_000;
    private static final long DRAIN_POLL_MILLISECONDS = 20;

    private final AgentRuntime mRuntime;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final WireServer mServer;
    private final HttpBackend mBackend;
    private final ControlClient mControl;
    private final AdministrationServer mAdministration;
    private final AgentWork mWork;
    private final Announcer mAnnouncer;

    private AgentDaemon(
            AgentRuntime runtime,
            WireServer server,
            HttpBackend backend,
            ControlClient control,
            AdministrationServer administration,
            AgentWork work,
            Announcer announcer) {
        mRuntime = runtime;
        mServer = server;
        mBackend = backend;
        mControl = control;
        mAdministration = administration;
        mWork = work;
        mAnnouncer = announcer;
    }

    /**
     * Starts an agent and announces it to control.
     *
     * @param settings where it listens and which backend server it serves
     * @throws org.ibisstand.base.IbisstandException with PORT_IN_USE if it cannot listen
     */
    public static AgentDaemon start(AgentSettings settings) {
        AgentRuntime runtime = AgentRuntime.start(settings);
        ControlMessages messages = new ControlMessages(runtime.controlThread());
        ControlClient control =
                ControlClient.connect(
                        runtime.wire(), runtime.clock(), controlMembers(settings), messages);
        HttpBackend backend = HttpBackend.create(settings, runtime.traffic());
        BackendHealth health =
                BackendHealth.create(
                        runtime.traffic(), settings.backend().baseUrl(), runtime.controlThread());
        LoadedModels loaded = new LoadedModels(runtime.controlThread());
        AgentWork work = AgentWork.create(runtime, backend, health, control, loaded);
        WireServer server =
                WireServer.start(
                        runtime.wire(),
                        new InetSocketAddress(settings.wire().host(), settings.wire().port()),
                        work.handler());
        String address = settings.wire().advertised(server.port()).toString();
        Announcer announcer = new Announcer(runtime, address, control, health);
        loaded.announceBy(announcer);
        messages.passOrdersTo(work.handler());
        messages.announceBy(announcer);
        AgentDaemon daemon =
                new AgentDaemon(
                        runtime,
                        server,
                        backend,
                        control,
                        administration(runtime, work, announcer),
                        work,
                        announcer);
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
        mRuntime.controlThread().execute(() -> leave(stopped));
        return stopped;
    }

    @Override
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        mServer.close();
        mControl.close();
        mAdministration.close();
        mBackend.close();
        mRuntime.close();
    }

    private void run() {
        mRuntime.controlThread().execute(this::followEvents);
        mAnnouncer.start();
        mRuntime.controlThread()
                .scheduleAtFixedRate(
                        this::expire,
                        EXPIRY_MILLISECONDS,
                        EXPIRY_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
        LogLine.info("started")
                .with("role", "agent")
                .with("agent", mRuntime.settings().agent())
                .with("port", port())
                .with("administration", administrationPort())
                .write();
    }

    private void followEvents() {
        if (mRuntime.settings().backend() instanceof BackendServer.Engine engine) {
            engine.eventsPath()
                    .map(path -> engine.baseUrl() + path)
                    .map(this::events)
                    .ifPresent(EngineEvents::start);
        }
    }

    private EngineEvents events(String url) {
        return new EngineEvents(mBackend.client(), url, mWork.index(), mRuntime.controlThread());
    }

    private void expire() {
        mWork.workload().expire();
        mWork.streams().forgetDelivered();
    }

    private void leave(CompletableFuture<Void> stopped) {
        LogLine.info("leaving").with("in_progress", mWork.workload().inProgress()).write();
        mAnnouncer.leave();
        mWork.workload().leave();
        long longest = mRuntime.settings().timing().gracefulStopMilliseconds();
        awaitDrained(stopped, mRuntime.clock().millis() + longest);
    }

    private void awaitDrained(CompletableFuture<Void> stopped, long limitMilliseconds) {
        mWork.streams().forgetDelivered();
        int inProgress = mWork.workload().inProgress();
        boolean drained = inProgress == 0 && mWork.streams().size() == 0;
        if (drained || mRuntime.clock().millis() >= limitMilliseconds) {
            LogLine.info("stopped").with("in_progress", inProgress).write();
            stopped.complete(null);
            return;
        }
        mRuntime.controlThread()
                .schedule(
                        () -> awaitDrained(stopped, limitMilliseconds),
                        DRAIN_POLL_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    private static AdministrationServer administration(
            AgentRuntime runtime, AgentWork work, Announcer announcer) {
        return AdministrationServer.start(
                runtime.settings().administration(),
                runtime.traffic(),
                AdministrationRoutes.create(
                        () -> reasonAgainst(announcer),
                        () ->
                                CompletableFuture.supplyAsync(
                                        () -> AgentReport.of(runtime, work, announcer),
                                        runtime.controlThread()),
                        runtime.metrics()));
    }

    private static Optional<String> reasonAgainst(Announcer announcer) {
        if (announcer.isLeaving()) {
            return Optional.of("leaving");
        }
        return announcer.isAnnounced() ? Optional.empty() : Optional.of("not announced");
    }

    private static List<InetSocketAddress> controlMembers(AgentSettings settings) {
        return settings.controlAddresses().stream().map(AgentDaemon::socketAddress).toList();
    }

    private static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
