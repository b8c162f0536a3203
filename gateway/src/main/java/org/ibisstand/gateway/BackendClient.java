package org.ibisstand.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Optional;

/**
 * Sends requests to backend servers over pooled connections.
 *
 * <p>Confined to the gateway's event loop.
 */
final class BackendClient {
    /** In place of an idle time: no connection is reused. */
    static final long NEW_CONNECTION = -1;

    /** The usual limit of HTTP clients for a status line. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** Twice the limit for requests of callers, since servers add headers of their own. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** Bodies are read in chunks of up to this size; an event of a stream is far shorter. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    private static final HttpDecoderConfig LIMITS =
            new HttpDecoderConfig()
                    .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                    .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                    .setMaxChunkSize(MAXIMUM_CHUNK_BYTES);

    /**
     * Allows for many round trips between availability zones, yet soon skips a server that is down.
     */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 250;

    private final EventLoop mLoop;
    private final HeaderNames mHeaderNames;
    private final Clock mClock;
    private long mConnections;

    BackendClient(EventLoop loop, HeaderNames headerNames, Clock clock) {
        mLoop = loop;
        mHeaderNames = headerNames;
        mClock = clock;
    }

    /**
     * Sends a request.
     *
     * @param server the backend server
     * @param request the request; this method takes ownership
     * @param identifier the request identifier, or {@link BackendConnection#NO_REQUEST_IDENTIFIER}
     *     for a call whose response does not repeat one, which gets a connection of its own
     * @param maximumIdleMilliseconds the longest idle time of a connection that is reused, or
     *     {@link #NEW_CONNECTION}
     * @param listener receives the response or the failure
     */
    Exchange send(
            BackendServer server,
            FullHttpRequest request,
            String identifier,
            long maximumIdleMilliseconds,
            ExchangeListener listener) {
        boolean isOwnCall = identifier.equals(BackendConnection.NO_REQUEST_IDENTIFIER);
        if (isOwnCall) {
            HttpUtil.setKeepAlive(request, false);
        }
        Exchange exchange = new Exchange(request, identifier, listener);
        Optional<BackendConnection> idle =
                isOwnCall || maximumIdleMilliseconds == NEW_CONNECTION
                        ? Optional.empty()
                        : takeIdleConnection(server, maximumIdleMilliseconds);
        if (idle.isPresent()) {
            exchange.sendOn(idle.get());
        } else {
            connect(server, exchange);
        }
        return exchange;
    }

    private static Optional<BackendConnection> takeIdleConnection(
            BackendServer server, long maximumIdleMilliseconds) {
        BackendConnection connection = server.idleConnections().poll();
        while (connection != null && !connection.isUsable(maximumIdleMilliseconds)) {
            connection.close();
            connection = server.idleConnections().poll();
        }
        return Optional.ofNullable(connection);
    }

    private void connect(BackendServer server, Exchange exchange) {
        ResponseDecoder decoder = new ResponseDecoder(LIMITS);
        BackendConnection connection =
                new BackendConnection(server, mHeaderNames, mClock, ++mConnections, decoder);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(new ConnectionInitializer(connection, decoder));
        InetSocketAddress address =
                new InetSocketAddress(server.address().host(), server.address().port());
        bootstrap
                .connect(address)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                exchange.onConnected(
                                        connection, ((ChannelFuture) future).channel());
                            } else {
                                exchange.onConnectFailed(
                                        String.valueOf(future.cause().getMessage()));
                            }
                        });
    }

    /** Sets up the pipeline of a new connection. */
    private static final class ConnectionInitializer extends ChannelInitializer<Channel> {
        private final BackendConnection mConnection;
        private final ResponseDecoder mDecoder;

        ConnectionInitializer(BackendConnection connection, ResponseDecoder decoder) {
            mConnection = connection;
            mDecoder = decoder;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ReceivedBytesHandler(mConnection))
                    .addLast(mDecoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(mConnection);
        }
    }

    /** One request and its response, including the wait for a connection. */
    static final class Exchange {
        private final FullHttpRequest mRequest;
        private final String mIdentifier;
        private final ExchangeListener mListener;
        private Optional<BackendConnection> mConnection = Optional.empty();
        private Optional<ConnectionUse> mConnectionUse = Optional.empty();
        private boolean mCancelled;

        private Exchange(FullHttpRequest request, String identifier, ExchangeListener listener) {
            mRequest = request;
            mIdentifier = identifier;
            mListener = listener;
        }

        /** Ends the request by closing its connection; the listener is not called any more. */
        void cancel() {
            if (mConnection.isPresent()) {
                activeConnection().ifPresent(BackendConnection::close);
            } else if (!mCancelled) {
                mRequest.release();
            }
            mCancelled = true;
        }

        /** Returns the connection; empty if the request has ended, as it may now carry another. */
        private Optional<BackendConnection> activeConnection() {
            return mConnection.filter(connection -> connection.isInUseBy(mListener));
        }

        /** Returns whether the request was passed to a connection. */
        boolean isSent() {
            return mConnection.isPresent();
        }

        /** Returns what to log about the connection; empty if the request was not sent. */
        Optional<ConnectionUse> connectionUse() {
            return mConnectionUse;
        }

        void setReading(boolean reading) {
            activeConnection().ifPresent(connection -> connection.setReading(reading));
        }

        private void sendOn(BackendConnection connection) {
            mConnection = Optional.of(connection);
            mConnectionUse = Optional.of(connection.send(mRequest, mIdentifier, mListener));
        }

        private void onConnected(BackendConnection connection, Channel channel) {
            if (mCancelled) {
                channel.close();
            } else {
                sendOn(connection);
            }
        }

        private void onConnectFailed(String reason) {
            if (!mCancelled) {
                mCancelled = true;
                mRequest.release();
                mListener.onNotSent(reason);
            }
        }
    }
}
