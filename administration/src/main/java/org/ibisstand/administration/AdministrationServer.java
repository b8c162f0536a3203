package org.ibisstand.administration;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.settings.Administration;

/** The HTTP/1.1 server of one process for its operators and the platform. */
public final class AdministrationServer implements AutoCloseable {
    private static final int MAXIMUM_LINE_BYTES = 4096;
    private static final int MAXIMUM_HEADER_BYTES = 16384;
    private static final int MAXIMUM_CHUNK_BYTES = 8192;
    private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;
    private static final int READ_TIMEOUT_SECONDS = 30;

    private final Channel mChannel;

    private AdministrationServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Starts a server.
     *
     * @param settings where to listen, and the digest of the operators' token
     * @param group the event loops that serve; the server does not end them
     * @param routes what to answer
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static AdministrationServer start(
            Administration settings, EventLoopGroup group, AdministrationRoutes routes) {
        OperatorToken token = OperatorToken.ofDigest(settings.operatorTokenSha256());
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(initializer(routes, token));
        return new AdministrationServer(
                ServerPort.bind(bootstrap, settings.host(), settings.port()));
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ServerPort.of(mChannel);
    }

    /** Stops listening; requests in progress are still answered. */
    @Override
    public void close() {
        mChannel.close().syncUninterruptibly();
    }

    private static ChannelInitializer<SocketChannel> initializer(
            AdministrationRoutes routes, OperatorToken token) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_SECONDS))
                        .addLast(
                                new HttpServerCodec(
                                        MAXIMUM_LINE_BYTES,
                                        MAXIMUM_HEADER_BYTES,
                                        MAXIMUM_CHUNK_BYTES))
                        .addLast(new BoundedAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new AdministrationChannelHandler(routes, token));
            }
        };
    }
}
