package org.ibisstand.fakes;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.administration.ServerPort;

/** A small HTTP/1.1 server whose exchanges all run on one thread. */
final class FakeHttpServer implements AutoCloseable {
    private static final int MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
    private static final long QUIET_PERIOD_MILLISECONDS = 0;
    private static final long CLOSE_TIMEOUT_MILLISECONDS = 2000;

    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final ChannelGroup mConnections;
    private Channel mChannel;

    private FakeHttpServer(EventLoopGroup group, EventLoop loop, ChannelGroup connections) {
        mGroup = group;
        mLoop = loop;
        mConnections = connections;
    }

    /** Returns a server that does not listen yet. */
    static FakeHttpServer create() {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        return new FakeHttpServer(group, loop, new DefaultChannelGroup(loop));
    }

    /** Starts to listen. */
    void listen(String host, int port, Consumer<HttpExchange> handler) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(initializer(handler));
        try {
            mChannel = ServerPort.bind(bootstrap, host, port);
        } catch (RuntimeException e) {
            shutDownGroup();
            throw e;
        }
    }

    /** Returns the thread that all exchanges run on. */
    EventLoop loop() {
        return mLoop;
    }

    /** Returns the port that the server listens on. */
    int port() {
        return ServerPort.of(mChannel);
    }

    /** Closes every open connection, without answers. */
    void closeConnections() {
        mConnections.close();
    }

    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
        mConnections.close();
        shutDownGroup();
    }

    private void shutDownGroup() {
        mGroup.shutdownGracefully(
                        QUIET_PERIOD_MILLISECONDS,
                        CLOSE_TIMEOUT_MILLISECONDS,
                        TimeUnit.MILLISECONDS)
                .syncUninterruptibly();
    }

    private ChannelInitializer<SocketChannel> initializer(Consumer<HttpExchange> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                mConnections.add(channel);
                channel.pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new FakeChannelHandler(handler));
            }
        };
    }
}
