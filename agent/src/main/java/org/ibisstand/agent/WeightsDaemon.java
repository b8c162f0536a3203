package org.ibisstand.agent;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Collection;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.EngineNotice;

/**
 * An agent that keeps the weights of the engine on its VM up to date and answers what entries ask
 * about its cache, while requests reach the engine without it.
 */
public final class WeightsDaemon implements AutoCloseable {
    /** Between looks at the engine, which answers its own VM at once. */
    private static final long TICK_MILLISECONDS = 100;

    private final Future<?> mTicks;
    private final FleetFollower mFollower;
    private final WireServer mServer;
    private final String mProcess;

    private WeightsDaemon(
            String process,
            EventLoopGroup group,
            ManagedEngine office,
            String engine,
            Clock clock,
            Address listen) {
        mProcess = process;
        // What comes from entries, control and the engine is decided where it arrives: a thread of
        // its own would be woken twice for each question.
        EventLoop controlThread = group.next();
        WeightsKeeper keeper =
                new WeightsKeeper(
                        office, engine, clock, controlThread, listen.toString(), this::tell);
        PartFollower parts = new PartFollower(office, clock, controlThread);
        WireContext wire =
                new WireContext(
                        group,
                        WireSettings.standard(),
                        process,
                        "agent",
                        BootIdentifier.create(),
                        new SecureRandom());
        mServer =
                WireServer.start(
                        wire,
                        new InetSocketAddress(listen.host(), listen.port()),
                        new PartAnswers(parts, keeper, controlThread));
        mFollower = new FleetFollower(wire, controlThread, false, keeper::update, keeper::noticed);
        mTicks =
                controlThread.scheduleWithFixedDelay(
                        () -> tick(keeper, parts),
                        TICK_MILLISECONDS,
                        TICK_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts an agent.
     *
     * @param process the name of this process
     * @param group carries its connections; the agent does not end it
     * @param office speaks to the engine
     * @param engine host and port where the engine takes requests
     * @param clock must not jump
     * @param listen where entries ask about the engine
     * @param control wire addresses of members of control
     */
    public static WeightsDaemon start(
            String process,
            EventLoopGroup group,
            ManagedEngine office,
            String engine,
            Clock clock,
            Address listen,
            Collection<String> control) {
        WeightsDaemon daemon = new WeightsDaemon(process, group, office, engine, clock, listen);
        daemon.follow(control);
        LogLine.info("agent_started").with("engine", engine).with("control", control).write();
        return daemon;
    }

    /** Follows other members of control from now on. */
    public void follow(Collection<String> control) {
        mFollower.follow(control);
    }

    @Override
    public void close() {
        mServer.close();
        mFollower.close();
        mTicks.cancel(false);
        LogLine.info("agent_stopped").with("process", mProcess).write();
    }

    private void tell(EngineNotice notice) {
        mFollower.tell(notice);
    }

    private static void tick(WeightsKeeper keeper, PartFollower parts) {
        try {
            keeper.tick();
            parts.tick();
        } catch (RuntimeException e) {
            LogLine.error("tick_failed").cause(e).write();
        }
    }
}
