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
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.EngineNotices;

/** One gateway: its server for callers and what it follows of control, until closed. */
public final class GatewayDaemon implements AutoCloseable {
    /** All callers of a VM that stopped may come at once. */
    private static final int BACKLOG_CONNECTIONS = 1024;

    /** The usual limit of HTTP servers for a request line. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** What operators allow by default; a change needs a restart. */
    private static final int MAXIMUM_HEADER_BYTES = 16_384;

    /** Pieces in which bodies are read; most bodies are one piece. */
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    /** A caller that reads slowly holds at most this much of an answer in memory. */
    private static final int HIGH_WATER_BYTES = 128 << 10;

    /** Sending goes on once a quarter of that is left. */
    private static final int LOW_WATER_BYTES = 32 << 10;

    /** Between looks at idle and slow connections; short against their limits of seconds. */
    private static final long SWEEP_MILLISECONDS = 250;

    /** Between looks at silent backend servers; short against their limits. */
    private static final long SILENCE_CHECK_MILLISECONDS = 100;

    /**
     * Connections are taken for a seventh of the stop, and the longest answers have the rest:
     * callers that find no listener go elsewhere at once, while an answer that is cut is lost.
     */
    private static final long ACCEPTING_PART = 7;

    /** Connections that are left when the stop ends are closed at once. */
    private static final long STOP_SECONDS = 1;

    private final GatewaySettings mSettings;
    private final EventLoopGroup mGroup;
    private final ExecutorService mControlThread;
    private final FleetFollower mFollower;
    private final Gateway mGateway;
    private final Channel mServer;

    private GatewayDaemon(
            GatewaySettings settings,
            HeaderNames names,
            PromptReader prompts,
            RunMoveProtocol runMoves,
            Clock clock,
            MetricRegistry metrics) {
        mSettings = settings;
        mGroup = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mControlThread = Executors.newSingleThreadExecutor(task -> new Thread(task, "control"));
        EventLoop loop = mGroup.next();
        WireContext wire =
                new WireContext(
                        mGroup,
                        WireSettings.standard(),
                        settings.process(),
                        "entry",
                        BootIdentifier.create(),
                        new SecureRandom());
        mGateway =
                new Gateway(
                        settings,
                        names,
                        prompts,
                        runMoves,
                        wire,
                        loop,
                        clock,
                        new SplittableRandom(),
                        metrics);
        mFollower = new FleetFollower(wire, mControlThread, true, this::update, this::noticed);
        mServer = listen();
        loop.scheduleWithFixedDelay(
                this::sweep, SWEEP_MILLISECONDS, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS);
        SilenceWatch silence = new SilenceWatch(mGateway);
        loop.scheduleWithFixedDelay(
                silence::check,
                SILENCE_CHECK_MILLISECONDS,
                SILENCE_CHECK_MILLISECONDS,
                TimeUnit.MILLISECONDS);
        mFollower.follow(settings.control());
    }

    /**
     * Starts a gateway and returns once it listens.
     *
     * @param settings of the gateway
     * @param names of the headers
     * @param prompts reads what callers say of their prompts
     * @param runMoves words the calls that move runs between engines
     * @param clock must not jump
     * @param metrics receives counts and times
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static GatewayDaemon start(
            GatewaySettings settings,
            HeaderNames names,
            PromptReader prompts,
            RunMoveProtocol runMoves,
            Clock clock,
            MetricRegistry metrics) {
        GatewayDaemon daemon =
                new GatewayDaemon(settings, names, prompts, runMoves, clock, metrics);
        LogLine.info("gateway_started")
                .with("callers", settings.callers())
                .with("control", settings.control())
                .write();
        return daemon;
    }

    /**
     * Returns whether a line of the log tells of an ordinary success, which is worth least when the
     * log is crowded.
     *
     * @param line the line as it is written
     */
    public static boolean isRoutineLine(String line) {
        return RequestLog.isOrdinary(line);
    }

    /** Returns whether new connections should be sent here. */
    public boolean isReady() {
        return mGateway.isServing() && !mGateway.isDraining();
    }

    /** Returns the port that callers connect to. */
    public int port() {
        return ((InetSocketAddress) mServer.localAddress()).getPort();
    }

    /** Takes what is known of routing and servers; completes once it is in force. */
    CompletableFuture<Void> update(FleetState state) {
        return CompletableFuture.runAsync(() -> mGateway.update(state), mGroup.next());
    }

    /** Takes what agents say of their engines; completes once it counts. */
    CompletableFuture<Void> noticed(EngineNotices notices) {
        return CompletableFuture.runAsync(() -> mGateway.noticed(notices), mGroup.next());
    }

    /** Follows other members of control from now on. */
    public void follow(Collection<String> control) {
        mFollower.follow(control);
    }

    /**
     * Stops: is not ready any more, answers what it has, and completes once no connection is left
     * or the time of the settings is over.
     */
    public CompletableFuture<Void> drain() {
        LogLine.info("gateway_drains").with("milliseconds", mSettings.stopMilliseconds()).write();
        CompletableFuture<Void> done = new CompletableFuture<>();
        long acceptingMilliseconds = mSettings.stopMilliseconds() / ACCEPTING_PART;
        mGateway.drain();
        mGroup.next().schedule(this::stopAccepting, acceptingMilliseconds, TimeUnit.MILLISECONDS);
        mGroup.next()
                .schedule(
                        () -> done.complete(null),
                        mSettings.stopMilliseconds(),
                        TimeUnit.MILLISECONDS);
        mGroup.next()
                .scheduleWithFixedDelay(
                        () -> completeIfIdle(done),
                        acceptingMilliseconds + SWEEP_MILLISECONDS,
                        SWEEP_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
        return done;
    }

    @Override
    public void close() {
        mServer.close().awaitUninterruptibly();
        mFollower.close();
        mControlThread.shutdown();
        mGroup.shutdownGracefully(0, STOP_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly();
        LogLine.info("gateway_stopped").with("process", mSettings.process()).write();
    }

    /** What comes from now on would be cut at the end of the stop. */
    private void stopAccepting() {
        mServer.close();
        List.copyOf(mGateway.callers()).forEach(CallerHandler::closeWhenIdle);
    }

    private void completeIfIdle(CompletableFuture<Void> done) {
        if (mGateway.callers().isEmpty()) {
            done.complete(null);
        }
    }

    private void sweep() {
        mGateway.table()
                .map(RouteTable::limits)
                .ifPresent(
                        limits ->
                                List.copyOf(mGateway.callers())
                                        .forEach(caller -> caller.checkTimes(limits)));
    }

    private Channel listen() {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(LOW_WATER_BYTES, HIGH_WATER_BYTES))
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(
                                                        new HttpServerCodec(
                                                                MAXIMUM_LINE_BYTES,
                                                                MAXIMUM_HEADER_BYTES,
                                                                MAXIMUM_CHUNK_BYTES))
                                                .addLast(new CallerHandler(mGateway));
                                    }
                                });
        ChannelFuture bound =
                bootstrap
                        .bind(mSettings.callers().host(), mSettings.callers().port())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            mGroup.shutdownGracefully();
            throw new IbisstandException(
                    ErrorCode.PORT_IN_USE,
                    "cannot listen on " + mSettings.callers(),
                    bound.cause());
        }
        return bound.channel();
    }
}
