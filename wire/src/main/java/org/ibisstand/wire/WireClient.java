package org.ibisstand.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.wire.message.Frame;
import org.tinylog.Logger;

/**
 * Keeps one connection to a peer open, and reconnects with full jitter when it is lost.
 *
 * <p>Nothing is sent again by this class, since only the sender knows what may run twice.
 */
public final class WireClient implements AutoCloseable {
    private static final int LARGEST_SHIFT = 16;

    private final WireContext mContext;
    private final InetSocketAddress mAddress;
    private final FrameHandler mHandler;
    private final Bootstrap mBootstrap;
    private volatile WireConnection mConnection;
    private volatile boolean mClosed;
    private volatile int mFailures;

    private WireClient(WireContext context, InetSocketAddress address, FrameHandler handler) {
        mContext = context;
        mAddress = address;
        mHandler = handler;
        mBootstrap =
                new Bootstrap()
                        .group(context.group())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(
                                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                                (int) context.settings().connectTimeout().toMillis())
                        .handler(new ConnectionInitializer(context, new Tracker(), true));
    }

    /**
     * Connects to a peer and stays connected until closed.
     *
     * @param context what the connections share
     * @param address of the peer
     * @param handler receives the requests of the peer
     */
    public static WireClient connect(
            WireContext context, InetSocketAddress address, FrameHandler handler) {
        WireClient client = new WireClient(context, address, handler);
        client.connectNow();
        return client;
    }

    /** Returns the address of the peer. */
    public InetSocketAddress address() {
        return mAddress;
    }

    /** Returns the connection, if it is open and the peer has said who it is. */
    public Optional<WireConnection> connection() {
        return Optional.ofNullable(mConnection).filter(WireConnection::isOpen);
    }

    /** Returns how many attempts to connect have failed since the last that succeeded. */
    public int failures() {
        return mFailures;
    }

    /**
     * Sends a request that has one answer, if there is a connection.
     *
     * @param request the request
     * @param timeout how long to wait for the answer
     * @return the answer; fails at once with AGENT_UNREACHABLE without a connection
     */
    public CompletableFuture<Frame> call(Frame.Builder request, Duration timeout) {
        Optional<WireConnection> connection = connection();
        if (connection.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new IbisstandException(
                            ErrorCode.AGENT_UNREACHABLE, "no connection to " + mAddress));
        }
        return connection.get().call(request, timeout);
    }

    @Override
    public void close() {
        mClosed = true;
        Optional.ofNullable(mConnection).ifPresent(WireConnection::close);
    }

    private void connectNow() {
        if (mClosed || mContext.group().isShuttingDown()) {
            return;
        }
        mBootstrap.connect(mAddress).addListener(future -> connected((ChannelFuture) future));
    }

    private void connected(ChannelFuture future) {
        if (!future.isSuccess()) {
            scheduleReconnect();
        } else {
            future.channel().closeFuture().addListener(closed -> scheduleReconnect());
            if (mClosed) {
                future.channel().close();
            }
        }
    }

    private void scheduleReconnect() {
        if (mClosed || mContext.group().isShuttingDown()) {
            return;
        }
        long pause = nextPauseMilliseconds();
        mFailures++;
        Logger.debug("event=reconnect peer={} in_ms={}", mAddress, pause);
        mContext.group()
                .schedule(LoggedTask.of("connect", this::connectNow), pause, TimeUnit.MILLISECONDS);
    }

    private long nextPauseMilliseconds() {
        WireSettings settings = mContext.settings();
        int shift = Math.min(mFailures, LARGEST_SHIFT);
        long ceiling = settings.shortestReconnect().toMillis() << shift;
        long bounded = Math.min(ceiling, settings.longestReconnect().toMillis());
        return mContext.random().nextLong(bounded + 1);
    }

    /** Keeps the present connection up to date before the handler learns of it. */
    private final class Tracker implements FrameHandler {
        @Override
        public void received(WireConnection connection, Frame frame) {
            mHandler.received(connection, frame);
        }

        @Override
        public void opened(WireConnection connection) {
            mConnection = connection;
            mFailures = 0;
            mHandler.opened(connection);
        }

        @Override
        public void closed(WireConnection connection) {
            if (mConnection == connection) {
                mConnection = null;
            }
            mHandler.closed(connection);
        }
    }
}
