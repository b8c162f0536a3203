package org.ibisstand.agent;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.LogLine;

/**
 * Knows whether the backend server takes connections.
 *
 * <p>Without this an agent whose backend server is down would have the shortest queue of all and
 * draw requests that it can only refuse. For the control thread only.
 */
final class BackendHealth {
    private static final long PROBE_MILLISECONDS = 200;

    private final Bootstrap mBootstrap;
    private final InetSocketAddress mAddress;
    private final ScheduledExecutorService mControlThread;
    private Runnable mChanged = () -> {};
    private boolean mDown;

    private BackendHealth(
            Bootstrap bootstrap,
            InetSocketAddress address,
            ScheduledExecutorService controlThread) {
        mBootstrap = bootstrap;
        mAddress = address;
        mControlThread = controlThread;
    }

    /**
     * Returns the health of a backend server that is taken to be up.
     *
     * @param group the event loops to connect on
     * @param baseUrl scheme, host and port of the backend server
     * @param controlThread runs all decisions
     */
    static BackendHealth create(
            EventLoopGroup group, String baseUrl, ScheduledExecutorService controlThread) {
        URI url = URI.create(baseUrl);
        Bootstrap bootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .handler(new ProbeInitializer());
        InetSocketAddress address = new InetSocketAddress(url.getHost(), url.getPort());
        return new BackendHealth(bootstrap, address, controlThread);
    }

    /** Sets what runs after each change, on the control thread. */
    void onChange(Runnable changed) {
        mChanged = changed;
    }

    boolean isDown() {
        return mDown;
    }

    /** Notes that a connection was refused, and probes until one is taken again. */
    void refused() {
        if (!mDown) {
            mDown = true;
            LogLine.warning("backend_down").with("address", mAddress).write();
            mChanged.run();
            probeLater();
        }
    }

    private void probeLater() {
        mControlThread.schedule(this::probe, PROBE_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private void probe() {
        mBootstrap.connect(mAddress).addListener(future -> probed((ChannelFuture) future));
    }

    private void probed(ChannelFuture future) {
        boolean taken = future.isSuccess();
        mControlThread.execute(() -> probed(taken));
        if (taken) {
            future.channel().close();
        }
    }

    private void probed(boolean taken) {
        if (taken) {
            mDown = false;
            LogLine.info("backend_up").with("address", mAddress).write();
            mChanged.run();
        } else {
            probeLater();
        }
    }

    /** Leaves the channel of a probe empty; unlike a plain handler it serves every probe. */
    private static final class ProbeInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {}
    }
}
