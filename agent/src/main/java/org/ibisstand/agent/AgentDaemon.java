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
import org.ibisstand.base.LoggedTask;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.BackendServer;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.WireServer;

/** The daemon beside one backend server: queues and executes requests and records outcomes. */
public final class AgentDaemon implements Daemon {
    private static final long EXPIRY_MILLISECONDS = 1_000;
    private static final long DRAIN_POLL_MILLISECONDS = 20;

    private final AgentRuntime mRuntime;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final WireServer mServer;
    private final HttpBackend mBackend;
    private final ControlClient mControl;
    private final AdministrationServer mAdministration;
    private final AgentComponents mComponents;
    private final Announcer mAnnouncer;

    private AgentDaemon(
            AgentRuntime runtime,
            WireServer server,
            HttpBackend backend,
            ControlClient control,
            AdministrationServer administration,
            AgentComponents components,
            Announcer announcer) {
        mRuntime = runtime;
        mServer = server;
        mBackend = backend;
        mControl = control;
        mAdministration = administration;
        mComponents = components;
        mAnnouncer = announcer;
    }

    /**
     * Starts an agent and announces it to control.
     *
     * @param settings the ports to listen on and the backend server to use
     * @throws org.ibisstand.base.IbisstandException with PORT_IN_USE if a port is in use
     */
    public static AgentDaemon start(AgentSettings settings) {
        AgentRuntime runtime = AgentRuntime.start(settings);
        ControlMessageHandler controlHandler = new ControlMessageHandler(runtime.controlThread());
        ControlClient control =
                ControlClient.connect(
                        runtime.wire(), runtime.clock(), controlMembers(settings), controlHandler);
        HttpBackend backend = HttpBackend.create(settings, runtime.eventLoops());
        BackendHealth health =
                BackendHealth.create(
                        runtime.eventLoops(),
                        settings.backend().baseUrl(),
                        runtime.controlThread());
        LoadedModelNotifier loadedModels = new LoadedModelNotifier(runtime.controlThread());
        AgentComponents components =
                AgentComponents.create(runtime, backend, health, control, loadedModels);
        WireServer server =
                WireServer.start(
                        runtime.wire(),
                        new InetSocketAddress(settings.wire().host(), settings.wire().port()),
                        components.handler());
        String address = settings.wire().advertised(server.port()).toString();
        Announcer announcer = new Announcer(runtime, address, control, health);
        loadedModels.setAnnouncer(announcer);
        controlHandler.setOrderHandler(components.handler());
        controlHandler.setAnnouncer(announcer);
        AgentDaemon daemon =
                new AgentDaemon(
                        runtime,
                        server,
                        backend,
                        control,
                        startAdministration(runtime, components, announcer),
                        components,
                        announcer);
        daemon.startTasks();
        return daemon;
    }

    /** Returns the TCP port for connections of entries. */
    public int port() {
        return mServer.port();
    }

    /** Returns the TCP port of the administration server, for operators. */
    public int administrationPort() {
        return mAdministration.port();
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mRuntime.controlThread().execute(() -> startDraining(stopped));
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

    private void startTasks() {
        mRuntime.controlThread().execute(this::followCacheEvents);
        mAnnouncer.start();
        mRuntime.controlThread()
                .scheduleAtFixedRate(
                        LoggedTask.of("remove_expired", this::removeExpired),
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

    private void followCacheEvents() {
        if (mRuntime.settings().backend() instanceof BackendServer.Engine engine) {
            engine.eventsPath()
                    .map(path -> engine.baseUrl() + path)
                    .map(this::createIndexUpdater)
                    .ifPresent(CacheIndexUpdater::start);
        }
    }

    private CacheIndexUpdater createIndexUpdater(String url) {
        return new CacheIndexUpdater(
                mBackend.client(), url, mComponents.index(), mRuntime.controlThread());
    }

    private void removeExpired() {
        mComponents.executor().removeExpiredAttempts();
        mComponents.streams().removeDelivered();
    }

    private void startDraining(CompletableFuture<Void> stopped) {
        LogLine.info("leaving")
                .with("in_progress", mComponents.executor().requestsInProgress())
                .write();
        mAnnouncer.announceLeaving();
        mComponents.executor().startDraining();
        long maximumMilliseconds = mRuntime.settings().timing().gracefulStopMilliseconds();
        awaitDrained(stopped, mRuntime.clock().millis() + maximumMilliseconds);
    }

    private void awaitDrained(CompletableFuture<Void> stopped, long deadlineMilliseconds) {
        mComponents.streams().removeDelivered();
        int inProgress = mComponents.executor().requestsInProgress();
        boolean isDrained = inProgress == 0 && mComponents.streams().size() == 0;
        if (isDrained || mRuntime.clock().millis() >= deadlineMilliseconds) {
            LogLine.info("stopped").with("in_progress", inProgress).write();
            stopped.complete(null);
            return;
        }
        mRuntime.controlThread()
                .schedule(
                        () -> awaitDrained(stopped, deadlineMilliseconds),
                        DRAIN_POLL_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    private static AdministrationServer startAdministration(
            AgentRuntime runtime, AgentComponents components, Announcer announcer) {
        return AdministrationServer.start(
                runtime.settings().administration(),
                runtime.eventLoops(),
                AdministrationRoutes.create(
                        () -> notReadyReason(announcer),
                        () ->
                                CompletableFuture.supplyAsync(
                                        () -> AgentReport.of(runtime, components, announcer),
                                        runtime.controlThread()),
                        runtime.metrics()));
    }

    private static Optional<String> notReadyReason(Announcer announcer) {
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
