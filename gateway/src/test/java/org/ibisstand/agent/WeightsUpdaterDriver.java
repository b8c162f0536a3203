package org.ibisstand.agent;

import java.time.Clock;
import java.util.function.Consumer;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;

/** Lets tests of the gateway drive an agent's updater of weights by hand. */
public final class WeightsUpdaterDriver {
    private final WeightsUpdater mUpdater;

    /** Creates an updater whose responses are processed on the calling thread. */
    public WeightsUpdaterDriver(
            ManagedEngine engine,
            String engineAddress,
            Clock clock,
            Consumer<EngineNotice> noticeListener) {
        mUpdater =
                new WeightsUpdater(
                        engine,
                        engineAddress,
                        clock,
                        Runnable::run,
                        () -> new Address("agent", 1),
                        noticeListener);
    }

    /** Applies what the agent receives from control. */
    public void update(FleetState state) {
        mUpdater.update(state);
    }

    /** Applies notices of other agents. */
    public void updateNotices(EngineNotices notices) {
        mUpdater.updateNotices(notices);
    }

    /** Requests the engine's status if it is due. */
    public void tick() {
        mUpdater.tick();
    }
}
