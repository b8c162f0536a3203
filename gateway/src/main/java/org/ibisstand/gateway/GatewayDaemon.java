package org.ibisstand.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.gateway.limits.MemberQuotaControl;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.EngineNotices;

/** Runs one gateway until closed: the HTTP server and the control plane connection. */
public final class GatewayDaemon implements AutoCloseable {
    /** All callers of a VM that stopped may connect at once. */
    private static final int BACKLOG_CONNECTIONS = 1024;

    /** The usual limit of HTTP servers for a request line. */
    private static final int MAXIMUM_REQUEST_LINE_BYTES = 8_192;

    /** The default limit in configurations; a change needs a restart. */
    private static final int MAXIMUM_HEADER_BYTES = 16_384;

    /** Bodies are read in chunks of up to this size; most fit in one. */
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    /** Limits the memory for the response to a caller that reads slowly. */
    private static final int HIGH_WATER_MARK_BYTES = 128 << 10;

    /** Writing resumes once a quarter of the high-water mark is left. */
    private static final int LOW_WATER_MARK_BYTES = 32 << 10;

    /** Interval of checks for idle and slow connections; short against limits of seconds. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 250;

    /** Interval of checks for silent backend servers; short against the limits on silence. */
    private static final long SILENCE_CHECK_INTERVAL_MILLISECONDS = 100;

    /** How long the event loop may take to shut down; it closes remaining connections at once. */
    private static final long SHUTDOWN_SECONDS = 1;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mEventLoops;
    private final ExecutorService mControlThread;
    private final FleetFollower mFollower;
    private final GatewayContext mGateway;
    private final Channel mServerChannel;

    private GatewayDaemon(
            GatewaySettings settings,
            HeaderNames headerNames,
            PromptReader promptReader,
            RunMoveProtocol runMoveProtocol,
            Clock clock,
            MetricRegistry metrics) {
        mSettings = settings;
        mEventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mControlThread = Executors.newSingleThreadExecutor(task -> new Thread(task, "control"));
        EventLoop loop = mEventLoops.next();
        WireContext wire =
                new WireContext(
                        mEventLoops,
                        WireSettings.standard(),
                        settings.process(),
                        "entry",
                        BootIdentifier.create(),
                        new SecureRandom());
        mFollower =
                new FleetFollower(wire, mControlThread, true, this::update, this::updateEngines);
        mGateway =
                new GatewayContext(
                        settings,
                        headerNames,
                        promptReader,
                        runMoveProtocol,
                        wire,
                        loop,
                        clock,
                        new SplittableRandom(),
                        metrics,
                        this::tellControl,
                        new MemberQuotaControl(mFollower, loop));
        mServerChannel = listen();
        loop.scheduleWithFixedDelay(
                LoggedTask.of("check_callers", this::checkCallerTimeouts),
                CHECK_INTERVAL_MILLISECONDS,
                CHECK_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        SilentServerDetector silentServers = new SilentServerDetector(mGateway);
        loop.scheduleWithFixedDelay(
                LoggedTask.of("check_silent_servers", silentServers::check),
                SILENCE_CHECK_INTERVAL_MILLISECONDS,
                SILENCE_CHECK_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        mFollower.follow(settings.control());
    }

    /**
     * Starts a gateway and returns once it listens.
     *
     * @param settings the settings of the gateway
     * @param headerNames the names of the HTTP headers
     * @param promptReader reads the descriptions of prompts that callers send
     * @param runMoveProtocol builds and parses the messages that move runs between engines
     * @param clock the time source, which must not jump
     * @param metrics the registry for counters and histograms
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static GatewayDaemon start(
            GatewaySettings settings,
            HeaderNames headerNames,
            PromptReader promptReader,
            RunMoveProtocol runMoveProtocol,
            Clock clock,
            MetricRegistry metrics) {
        GatewayDaemon daemon =
                new GatewayDaemon(
                        settings, headerNames, promptReader, runMoveProtocol, clock, metrics);
        LogLine.info("gateway_started")
                .with("callers", settings.callers())
                .with("control", settings.control())
                .write();
        return daemon;
    }

    /**
     * Returns whether a log line reports the placement or success of a request. Such lines are the
     * first to drop when the log is over its limit.
     *
     * @param line the complete line
     */
    public static boolean isRoutineLine(String line) {
        return RequestLog.isRoutine(line);
    }

    /** Returns whether a load balancer should send new connections to this gateway. */
    public boolean isReady() {
        return mGateway.isConfigured() && !mGateway.isDraining();
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return ((InetSocketAddress) mServerChannel.localAddress()).getPort();
    }

    /** Applies a new state of routing and servers; completes once it is in force. */
    CompletableFuture<Void> update(FleetState state) {
        return CompletableFuture.runAsync(() -> mGateway.update(state), mEventLoops.next());
    }

    /** Applies notices of agents about their engines; completes once they are in force. */
    CompletableFuture<Void> updateEngines(EngineNotices notices) {
        return CompletableFuture.runAsync(
                () -> mGateway.updateEngines(notices), mEventLoops.next());
    }

    private void tellControl(EngineNotices notices) {
        mFollower.tellAll(notices);
    }

    /** Replaces the addresses of the control members to follow. */
    public void follow(Collection<String> control) {
        mFollower.follow(control);
    }

    /**
     * Drains the gateway: it is no longer ready and finishes its requests. Completes once no
     * connection is left, or after the stop time of the settings.
     */
    public CompletableFuture<Void> drain() {
        mGateway.drain();
        mFollower.stopping();
        return new GatewayStop(mGateway, mServerChannel).start();
    }

    @Override
    public void close() {
        mServerChannel.close().awaitUninterruptibly();
        mFollower.close();
        mControlThread.shutdown();
        mEventLoops
                .shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS)
                .awaitUninterruptibly();
        LogLine.info("gateway_stopped")
                .with("process", mSettings.process())
                .with("draining_ms", mGateway.drainingMilliseconds())
                .with("connections", mGateway.callers().size())
                .write();
    }

    private void checkCallerTimeouts() {
        mGateway.routeTable()
                .map(RouteTable::limits)
                .ifPresent(
                        limits ->
                                List.copyOf(mGateway.callers())
                                        .forEach(caller -> caller.closeIfTimedOut(limits)));
    }

    private Channel listen() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(
                                                                MAXIMUM_REQUEST_LINE_BYTES,
                                                                MAXIMUM_HEADER_BYTES,
                                                                MAXIMUM_CHUNK_BYTES))
                                                .addLast(new CallerConnection(mGateway));
                                    }
                                });
        ChannelFuture bound =
                bootstrap
                        .bind(mSettings.callers().host(), mSettings.callers().port())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            mEventLoops.shutdownGracefully();
            throw new IbisstandException(
                    ErrorCode.PORT_IN_USE,
                    "cannot listen on " + mSettings.callers(),
                    bound.cause());
        }
        return bound.channel();
    }
}
