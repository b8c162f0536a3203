package org.ibisstand.agent;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;

/**
 * What all parts of one agent process share.
 *
 * @param settings of the agent
 * @param boot names this run
 * @param clock tells the time
 * @param traffic carries connections
 * @param controlThread runs all decisions
 * @param metrics counts and times
 * @param wire what connections to other processes share
 */
record AgentRuntime(
        AgentSettings settings,
        BootIdentifier boot,
        Clock clock,
        EventLoopGroup traffic,
        EventLoop controlThread,
        MetricRegistry metrics,
        WireContext wire) {
    private static final int TRAFFIC_THREADS = 2;

    static AgentRuntime start(AgentSettings settings) {
        BootIdentifier boot = BootIdentifier.create();
        EventLoopGroup traffic = trafficThreads();
        return new AgentRuntime(
                settings,
                boot,
                MonotonicClock.start(),
                traffic,
                new DefaultEventLoop(new DefaultThreadFactory("control")),
                new MetricRegistry(),
                new WireContext(
                        traffic,
                        WireSettings.standard(),
                        settings.agent(),
                        "agent",
                        boot,
                        new SecureRandom()));
    }

    // AsyncHttpClient recognises only this older kind of event loop group.
    @SuppressWarnings("deprecation")
    private static EventLoopGroup trafficThreads() {
        return new NioEventLoopGroup(TRAFFIC_THREADS, new DefaultThreadFactory("traffic"));
    }

    void close() {
        controlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        traffic.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
