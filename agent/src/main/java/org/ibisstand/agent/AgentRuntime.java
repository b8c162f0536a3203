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
 * The resources that all components of an agent process share.
 *
 * @param settings the settings of the agent
 * @param boot the boot identifier of the process
 * @param clock a monotonic clock
 * @param eventLoops the threads that serve connections
 * @param controlThread the single thread that owns the state of requests
 * @param metrics the registry of counters and timers
 * @param wire the shared context of connections to other processes
 */
record AgentRuntime(
        AgentSettings settings,
        BootIdentifier boot,
        Clock clock,
        EventLoopGroup eventLoops,
        EventLoop controlThread,
        MetricRegistry metrics,
        WireContext wire) {
    private static final int EVENT_LOOP_THREADS = 2;

    static AgentRuntime start(AgentSettings settings) {
        BootIdentifier boot = BootIdentifier.create();
        EventLoopGroup eventLoops = createEventLoops();
        return new AgentRuntime(
                settings,
                boot,
                MonotonicClock.start(),
                eventLoops,
                new DefaultEventLoop(new DefaultThreadFactory("control")),
                new MetricRegistry(),
                new WireContext(
                        eventLoops,
                        WireSettings.standard(),
                        settings.agent(),
                        "agent",
                        boot,
                        new SecureRandom()));
    }

    // AsyncHttpClient accepts only this deprecated type of event loop group.
    @SuppressWarnings("deprecation")
    private static EventLoopGroup createEventLoops() {
        return new NioEventLoopGroup(EVENT_LOOP_THREADS, new DefaultThreadFactory("traffic"));
    }

    void close() {
        controlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
