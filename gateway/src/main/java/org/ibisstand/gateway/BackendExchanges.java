package org.ibisstand.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.Optional;

/** Sends requests to backend servers over pooled connections; for the traffic thread only. */
final class BackendExchanges {
    /** The usual limit of HTTP clients for a status line. */
    private static final int MAXIMUM_LINE_BYTES = 8_192;

    /** Twice what callers may send, since servers add headers of their own. */
    private static final int MAXIMUM_HEADER_BYTES = 32_768;

    /** Pieces in which answers are read; an event of a stream is far shorter. */
    private static final int MAXIMUM_CHUNK_BYTES = 16_384;

    /** Many round trips between availability zones; a server that is down is passed over soon. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 250;

    private final EventLoop mLoop;
    private final HeaderNames mNames;
    private final Clock mClock;

    BackendExchanges(EventLoop loop, HeaderNames names, Clock clock) {
        mLoop = loop;
        mNames = names;
        mClock = clock;
    }

    /**
     * Sends a request.
     *
     * @param server where to
     * @param request what to send; ownership passes to this method
     * @param identifier of the request
     * @param longestIdleMilliseconds how long a connection may have been idle to be used again
     * @param listener receives what becomes of it
     */
    Exchange send(
            BackendServer server,
            FullHttpRequest request,
            String identifier,
            long longestIdleMilliseconds,
            ExchangeListener listener) {
        Exchange exchange = new Exchange(request, identifier, listener);
        Optional<BackendConnection> idle = takeIdle(server, longestIdleMilliseconds);
        if (idle.isPresent()) {
            exchange.start(idle.get());
        } else {
            connect(server, exchange);
        }
        return exchange;
    }

    private static Optional<BackendConnection> takeIdle(BackendServer server, long longestIdle) {
        BackendConnection connection = server.idle().poll();
        while (connection != null && !connection.isUsable(longestIdle)) {
            connection.close();
            connection = server.idle().poll();
        }
        return Optional.ofNullable(connection);
    }

    private void connect(BackendServer server, Exchange exchange) {
        BackendConnection connection = new BackendConnection(server, mNames, mClock);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(new Initializer(connection));
        InetSocketAddress address =
                new InetSocketAddress(server.address().host(), server.address().port());
        bootstrap
                .connect(address)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                exchange.connected(connection, ((ChannelFuture) future).channel());
                            } else {
                                exchange.refused(String.valueOf(future.cause().getMessage()));
                            }
                        });
    }

    /** Prepares a new connection. */
    private static final class Initializer extends ChannelInitializer<Channel> {
        private final BackendConnection mConnection;

        Initializer(BackendConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(new ReceivedBytes(mConnection))
                    .addLast(
                            new HttpClientCodec(
                                    MAXIMUM_LINE_BYTES,
                                    MAXIMUM_HEADER_BYTES,
                                    MAXIMUM_CHUNK_BYTES,
                                    true))
                    .addLast(mConnection);
        }
    }

    /** One request at one backend server, from the wait for a connection to its end. */
    static final class Exchange {
        private final FullHttpRequest mRequest;
        private final String mIdentifier;
        private final ExchangeListener mListener;
        private Optional<BackendConnection> mConnection = Optional.empty();
        private boolean mCancelled;

        private Exchange(FullHttpRequest request, String identifier, ExchangeListener listener) {
            mRequest = request;
            mIdentifier = identifier;
            mListener = listener;
        }

        /** Ends the request by closing its connection; the listener hears nothing more. */
        void cancel() {
            if (mConnection.isPresent()) {
                carrier().ifPresent(BackendConnection::close);
            } else if (!mCancelled) {
                mRequest.release();
            }
            mCancelled = true;
        }

        /** Returns the connection, unless the request has ended there: it may carry another. */
        private Optional<BackendConnection> carrier() {
            return mConnection.filter(connection -> connection.carries(mListener));
        }

        /** Returns whether the request was handed to a connection. */
        boolean isSent() {
            return mConnection.isPresent();
        }

        void setReading(boolean reading) {
            carrier().ifPresent(connection -> connection.setReading(reading));
        }

        private void start(BackendConnection connection) {
            mConnection = Optional.of(connection);
            connection.send(mRequest, mIdentifier, mListener);
        }

        private void connected(BackendConnection connection, Channel channel) {
            if (mCancelled) {
                channel.close();
            } else {
                start(connection);
            }
        }

        private void refused(String reason) {
            if (!mCancelled) {
                mRequest.release();
                mListener.notSent(reason);
            }
        }
    }
}
