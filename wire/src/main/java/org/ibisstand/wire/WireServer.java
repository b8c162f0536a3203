package org.ibisstand.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Accepts connections of peer processes. */
public final class WireServer implements AutoCloseable {
    private static final int BACKLOG_CONNECTIONS = 1024;

    private final Channel mChannel;

    private WireServer(Channel channel) {
        mChannel = channel;
    }

    /**
     * Listens on an address.
     *
     * @param context what the connections share
     * @param address where to listen; port 0 takes any free port
     * @param handler receives the requests of all peers
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static WireServer start(
            WireContext context, InetSocketAddress address, FrameHandler handler) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(context.group())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_CONNECTIONS)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer(context, handler, false));
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String message = "cannot listen on " + address + ": " + bound.cause().getMessage();
            throw new IbisstandException(ErrorCode.PORT_IN_USE, message, bound.cause());
        }
        return new WireServer(bound.channel());
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return ((InetSocketAddress) mChannel.localAddress()).getPort();
    }

    /** Stops listening; open connections stay. */
    @Override
    public void close() {
        mChannel.close().awaitUninterruptibly();
    }
}
