package org.ibisstand.administration;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Binds server sockets and reports a port that cannot be had. */
public final class ServerPort {
    private ServerPort() {}

    /**
     * Binds a server and waits until it listens.
     *
     * @param bootstrap the server to bind
     * @param host the IP number to bind
     * @param port the TCP port; zero takes any free port
     * @return the listening channel
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static Channel bind(ServerBootstrap bootstrap, String host, int port) {
        ChannelFuture future = bootstrap.bind(host, port).awaitUninterruptibly();
        if (!future.isSuccess()) {
            throw new IbisstandException(
                    ErrorCode.PORT_IN_USE,
                    "cannot listen on " + host + ":" + port + ": " + future.cause().getMessage(),
                    future.cause());
        }
        return future.channel();
    }

    /**
     * Returns the port that a listening channel has.
     *
     * @param channel what {@link #bind} returned
     */
    public static int of(Channel channel) {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }
}
