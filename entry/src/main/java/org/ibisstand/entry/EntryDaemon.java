package org.ibisstand.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.ibisstand.administration.AdministrationRoutes;
import org.ibisstand.administration.AdministrationServer;
import org.ibisstand.administration.ServerPort;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.Daemon;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.routing.AgentLoads;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.PlacementPolicy;
import org.ibisstand.routing.RecentPlacements;
import org.ibisstand.routing.SlownessTracker;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.EntrySettings;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.Frame;
import org.tinylog.Logger;

/** The process between callers and agents: takes requests, places them and streams the answers. */
public final class EntryDaemon implements Daemon {
    private static final int TRAFFIC_THREADS = 4;
    private static final int RECENT_PLACEMENT_BITS = 14;
    private static final long DRAIN_POLL_MILLISECONDS = 20;

    private final EntrySettings mSettings;
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private final EventLoopGroup mTraffic;
    private final EventLoop mControlThread;
    private final Channel mListener;
    private final ChannelGroup mCallers;
    private final CallerContext mCallerContext;
    private final ControlClient mControl;
    private final AgentConnections mAgents;
    private final AdministrationServer mAdministration;
    private final Clock mClock;

    private EntryDaemon(
            EntrySettings settings,
            EventLoopGroup traffic,
            EventLoop controlThread,
            Channel listener,
            ChannelGroup callers,
            CallerContext callerContext,
            ControlClient control,
            AgentConnections agents,
            AdministrationServer administration,
            Clock clock) {
        mSettings = settings;
        mTraffic = traffic;
        mControlThread = controlThread;
        mListener = listener;
        mCallers = callers;
        mCallerContext = callerContext;
        mControl = control;
        mAgents = agents;
        mAdministration = administration;
        mClock = clock;
    }

    /**
     * Starts an entry; it serves as soon as any member of control has told it of a configuration.
     *
     * @param settings where it listens and how long it waits
     * @throws org.ibisstand.base.IbisstandException with PORT_IN_USE if it cannot listen
     */
    public static EntryDaemon start(EntrySettings settings) {
        MonotonicClock clock = MonotonicClock.start();
        BootIdentifier boot = BootIdentifier.create();
        EventLoopGroup traffic =
                new MultiThreadIoEventLoopGroup(
                        TRAFFIC_THREADS,
                        new DefaultThreadFactory("traffic"),
                        NioIoHandler.newFactory());
        EventLoop controlThread = new DefaultEventLoop(new DefaultThreadFactory("control"));
        MetricRegistry metrics = new MetricRegistry();
        AtomicReference<EntryState> state = new AtomicReference<>(EntryState.empty());
        WireContext wire =
                new WireContext(
                        traffic,
                        WireSettings.standard(),
                        settings.process(),
                        "entry",
                        boot,
                        new SecureRandom());
        AgentConnections agents = new AgentConnections(wire);
        ControlWatch watch =
                new ControlWatch(
                        settings.process(), controlThread, state, agents, localCopy(settings));
        watch.restore();
        ControlClient control = connectControl(wire, clock, settings, watch);
        FlowContext flows = flows(clock, state, agents, control, metrics);
        CallerContext callers =
                new CallerContext(
                        new CallReader(clock, PromptReader.create()),
                        flows,
                        boot,
                        settings.limits().maximumRequests());
        EntryReport report = new EntryReport(settings, boot, state, flows, agents, control);
        AdministrationServer administration =
                AdministrationServer.start(
                        settings.administration(),
                        traffic,
                        AdministrationRoutes.create(
                                () -> reasonAgainst(state, callers),
                                () -> CompletableFuture.supplyAsync(report::state, controlThread),
                                metrics));
        ChannelGroup open = new DefaultChannelGroup(controlThread);
        Channel listener = listen(settings, traffic, callers, open);
        Logger.info(
                "event=started role=entry process={} port={} administration={}",
                settings.process(),
                ServerPort.of(listener),
                administration.port());
        return new EntryDaemon(
                settings,
                traffic,
                controlThread,
                listener,
                open,
                callers,
                control,
                agents,
                administration,
                clock);
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return ServerPort.of(mListener);
    }

    /** Returns the port that operators connect to. */
    public int administrationPort() {
        return mAdministration.port();
    }

    @Override
    public CompletableFuture<Void> stop() {
        Logger.info("event=stopping role=entry in_progress={}", mCallerContext.inProgress());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        // The balancer learns from readiness; until then requests still come and are served.
        mCallerContext.drain();
        mControlThread.schedule(
                () -> stopListening(stopped),
                mSettings.timing().balancerWaitMilliseconds(),
                TimeUnit.MILLISECONDS);
        return stopped;
    }

    @Override
    public void close() {
        if (mClosed.getAndSet(true)) {
            return;
        }
        mListener.close();
        mCallers.close();
        mControl.close();
        mAgents.close();
        mAdministration.close();
        mControlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mTraffic.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void stopListening(CompletableFuture<Void> stopped) {
        mListener.close();
        long limit = mClock.millis() + mSettings.timing().gracefulStopMilliseconds();
        awaitDrained(stopped, limit);
    }

    private void awaitDrained(CompletableFuture<Void> stopped, long limitMilliseconds) {
        mCallers.forEach(
                channel -> channel.pipeline().fireUserEventTriggered(ConnectionDrain.EVENT));
        if (mCallerContext.inProgress() == 0 || mClock.millis() >= limitMilliseconds) {
            Logger.info("event=stopped role=entry in_progress={}", mCallerContext.inProgress());
            // Answers that are written already must still leave the process.
            mControlThread.schedule(
                    () -> stopped.complete(null), DRAIN_POLL_MILLISECONDS, TimeUnit.MILLISECONDS);
            return;
        }
        mControlThread.schedule(
                () -> awaitDrained(stopped, limitMilliseconds),
                DRAIN_POLL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    private static Optional<LocalCopy> localCopy(EntrySettings settings) {
        return settings.stateFolder().map(Path::of).map(LocalCopy::in);
    }

    private static ControlClient connectControl(
            WireContext wire, Clock clock, EntrySettings settings, ControlWatch watch) {
        List<InetSocketAddress> members =
                settings.controlAddresses().stream().map(EntryDaemon::socketAddress).toList();
        return ControlClient.connect(
                wire,
                clock,
                members,
                new FrameHandler() {
                    @Override
                    public void received(WireConnection connection, Frame frame) {
                        Logger.debug("event=unexpected_frame kind={}", frame.getBodyCase());
                    }

                    @Override
                    public void opened(WireConnection connection) {
                        watch.opened(connection);
                    }
                });
    }

    private static FlowContext flows(
            Clock clock,
            AtomicReference<EntryState> state,
            AgentConnections agents,
            ControlClient control,
            MetricRegistry metrics) {
        AgentLoads loads = AgentLoads.create();
        SlownessTracker observations = SlownessTracker.create();
        SecureRandom random = new SecureRandom();
        Placement placement =
                Placement.create(
                        PlacementPolicy.standard(),
                        loads,
                        RecentPlacements.ofBits(RECENT_PLACEMENT_BITS),
                        observations,
                        random);
        return new FlowContext(
                clock,
                state,
                agents,
                new Claims(control),
                placement,
                loads,
                observations,
                random,
                new EntryMetrics(metrics));
    }

    private static Channel listen(
            EntrySettings settings,
            EventLoopGroup traffic,
            CallerContext callers,
            ChannelGroup open) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(traffic)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ConnectionLimit(
                                        settings.limits().maximumConnections(),
                                        open,
                                        new CallerInitializer(settings, callers)));
        return ServerPort.bind(bootstrap, settings.caller().host(), settings.caller().port());
    }

    private static Optional<String> reasonAgainst(
            AtomicReference<EntryState> state, CallerContext callers) {
        if (callers.isDraining()) {
            return Optional.of("stopping");
        }
        return state.get().configuration().isEmpty()
                ? Optional.of("no configuration yet")
                : Optional.empty();
    }

    private static InetSocketAddress socketAddress(Address address) {
        return new InetSocketAddress(address.host(), address.port());
    }
}
