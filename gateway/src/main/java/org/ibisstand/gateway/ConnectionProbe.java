package org.ibisstand.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.settings.Address;

/** Checks by one connection whether anything listens at the address of an engine. */
final class ConnectionProbe implements EngineProbe {
    /** A process that ends closes its connections and its listener within a few milliseconds. */
    private static final long DELAY_MILLISECONDS = 30;

    /** The same as for requests; a refusal takes one round trip. */
    private static final int TIMEOUT_MILLISECONDS = 250;

    private final EventLoop mLoop;

    ConnectionProbe(EventLoop loop) {
        mLoop = loop;
    }

    @Override
    public void check(Address address, Consumer<Result> listener) {
        mLoop.schedule(() -> connect(address, listener), DELAY_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void connect(Address address, Consumer<Result> listener) {
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, TIMEOUT_MILLISECONDS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(new InetSocketAddress(address.host(), address.port()))
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                ((ChannelFuture) future).channel().close();
                            }
                            listener.accept(result(future.cause()));
                        });
    }

    private static Result result(Throwable cause) {
        return switch (cause) {
            case null -> Result.ACCEPTED;
            case ConnectTimeoutException timeout -> Result.UNKNOWN;
            case ConnectException refused -> Result.REFUSED;
            default -> Result.UNKNOWN;
        };
    }
}
