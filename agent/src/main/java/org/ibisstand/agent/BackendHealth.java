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
import org.ibisstand.base.LoggedTask;

/**
 * Tracks whether the backend server accepts connections.
 *
 * <p>Without this check, an agent whose backend server is down would have the shortest queue of all
 * agents and attract requests that it can only reject. For the control thread only.
 */
final class BackendHealth {
    private static final long PROBE_INTERVAL_MILLISECONDS = 200;

    private final Bootstrap mBootstrap;
    private final InetSocketAddress mAddress;
    private final ScheduledExecutorService mControlThread;
    private Runnable mChangeListener = () -> {};
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
     * Returns a tracker that assumes at first that the backend server is up.
     *
     * @param group the event loops to connect on
     * @param baseUrl scheme, host and port of the backend server
     * @param controlThread the thread on which state changes
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

    /** Sets the listener that runs on the control thread after each change. */
    void setChangeListener(Runnable listener) {
        mChangeListener = listener;
    }

    boolean isDown() {
        return mDown;
    }

    /** Marks the backend server as down and probes it until it accepts a connection. */
    void onConnectionRefused() {
        if (!mDown) {
            mDown = true;
            LogLine.warning("backend_down").with("address", mAddress).write();
            mChangeListener.run();
            scheduleProbe();
        }
    }

    private void scheduleProbe() {
        mControlThread.schedule(
                LoggedTask.of("probe", this::probe),
                PROBE_INTERVAL_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    private void probe() {
        mBootstrap
                .connect(mAddress)
                .addListener(future -> onProbeCompleted((ChannelFuture) future));
    }

    private void onProbeCompleted(ChannelFuture future) {
        boolean connected = future.isSuccess();
        mControlThread.execute(() -> onProbeCompleted(connected));
        if (connected) {
            future.channel().close();
        }
    }

    private void onProbeCompleted(boolean connected) {
        if (connected) {
            mDown = false;
            LogLine.info("backend_up").with("address", mAddress).write();
            mChangeListener.run();
        } else {
            scheduleProbe();
        }
    }

    /** Adds no handlers to a probe's channel; sharable, so one instance serves all probes. */
    private static final class ProbeInitializer extends ChannelInitializer<Channel> {
        @Override
        protected void initChannel(Channel channel) {}
    }
}
