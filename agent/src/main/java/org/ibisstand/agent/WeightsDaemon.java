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
import org.ibisstand.base.LoggedTask;
import org.ibisstand.fleet.FleetFollower;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.WireServer;
import org.ibisstand.wire.WireSettings;
import org.ibisstand.wire.message.EngineNotice;

/**
 * An agent that keeps the weights of the engine on its VM up to date and answers queries of entries
 * about the engine's cache. Requests do not pass through it.
 */
public final class WeightsDaemon implements AutoCloseable {
    /** The interval between polls of the engine, which is on the same VM and responds quickly. */
    private static final long TICK_MILLISECONDS = 100;

    private final Future<?> mTicks;
    private final FleetFollower mFollower;
    private final WireServer mServer;
    private final String mProcess;
    private final String mHost;

    private WeightsDaemon(
            String process,
            EventLoopGroup group,
            ManagedEngine managedEngine,
            String engineAddress,
            Clock clock,
            Address listen) {
        mProcess = process;
        mHost = listen.host();
        // Messages of entries, control and the engine are handled on the event loop thread that
        // receives them: a separate thread would add two wake-ups to each query.
        EventLoop controlThread = group.next();
        WeightsUpdater weightsUpdater =
                new WeightsUpdater(
                        managedEngine,
                        engineAddress,
                        clock,
                        controlThread,
                        this::address,
                        this::publishNotice);
        PartIndexUpdater partUpdater = new PartIndexUpdater(managedEngine, clock, controlThread);
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
                        new PartQuestionHandler(partUpdater, weightsUpdater, controlThread));
        mFollower =
                new FleetFollower(
                        wire,
                        controlThread,
                        false,
                        weightsUpdater::update,
                        weightsUpdater::updateNotices);
        mTicks =
                controlThread.scheduleWithFixedDelay(
                        LoggedTask.of("update_weights", () -> tick(weightsUpdater, partUpdater)),
                        TICK_MILLISECONDS,
                        TICK_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Starts an agent.
     *
     * @param process the name of the process
     * @param group the event loops for its connections; the agent does not shut it down
     * @param managedEngine the engine on this VM
     * @param engineAddress host and port at which the engine accepts requests
     * @param clock a monotonic clock
     * @param listen the address to listen on for queries of entries; port zero takes any free port
     * @param control wire addresses of some members of control, used as seeds
     */
    public static WeightsDaemon start(
            String process,
            EventLoopGroup group,
            ManagedEngine managedEngine,
            String engineAddress,
            Clock clock,
            Address listen,
            Collection<String> control) {
        WeightsDaemon daemon =
                new WeightsDaemon(process, group, managedEngine, engineAddress, clock, listen);
        daemon.follow(control);
        LogLine.info("agent_started")
                .with("engine", engineAddress)
                .with("control", control)
                .write();
        return daemon;
    }

    /** Returns the address at which entries query this agent about its engine. */
    public Address address() {
        return new Address(mHost, mServer.port());
    }

    /** Replaces the seed addresses through which the agent finds all members of control. */
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

    private void publishNotice(EngineNotice notice) {
        mFollower.tell(notice);
    }

    private static void tick(WeightsUpdater weightsUpdater, PartIndexUpdater partUpdater) {
        try {
            weightsUpdater.tick();
            partUpdater.tick();
        } catch (RuntimeException e) {
            LogLine.error("tick_failed").cause(e).write();
        }
    }
}
