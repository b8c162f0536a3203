package org.ibisstand.agent;

import io.netty.channel.EventLoopGroup;
import java.security.SecureRandom;
import java.time.Clock;
import java.util.Collection;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.LogLine;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireSettings;

/**
 * An agent that keeps the weights of the engine on its VM up to date while requests reach the
 * engine without it.
 */
public final class WeightsDaemon implements AutoCloseable {
    /** Between looks at the engine; a quarter of a load of weights. */
    private static final long TICK_MILLISECONDS = 150;

    private final ScheduledExecutorService mControlThread;
    private final FleetFollower mFollower;
    private final String mProcess;

    private WeightsDaemon(
            String process, EventLoopGroup group, EngineOffice office, String engine, Clock clock) {
        mProcess = process;
        mControlThread =
                Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control"));
        WeightsKeeper keeper = new WeightsKeeper(office, engine, clock, mControlThread);
        WireContext wire =
                new WireContext(
                        group,
                        WireSettings.standard(),
                        process,
                        "agent",
                        BootIdentifier.create(),
                        new SecureRandom());
        mFollower = new FleetFollower(wire, mControlThread, false, keeper::update);
        mControlThread.scheduleWithFixedDelay(
                () -> tick(keeper), TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts an agent.
     *
     * @param process the name of this process
     * @param group carries its connections; the agent does not end it
     * @param office speaks to the engine
     * @param engine host and port where the engine takes requests
     * @param clock must not jump
     * @param control wire addresses of members of control
     */
    public static WeightsDaemon start(
            String process,
            EventLoopGroup group,
            EngineOffice office,
            String engine,
            Clock clock,
            Collection<String> control) {
        WeightsDaemon daemon = new WeightsDaemon(process, group, office, engine, clock);
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
        mFollower.close();
        mControlThread.shutdown();
        LogLine.info("agent_stopped").with("process", mProcess).write();
    }

    private static void tick(WeightsKeeper keeper) {
        try {
            keeper.tick();
        } catch (RuntimeException e) {
            LogLine.error("tick_failed").cause(e).write();
        }
    }
}
