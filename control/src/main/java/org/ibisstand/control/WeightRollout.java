package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.ibisstand.control.message.BeginLoad;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.EndLoad;
import org.ibisstand.settings.Configuration;
import org.ibisstand.settings.ConfigurationReader;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineOrder;
import org.ibisstand.wire.message.Frame;
import org.tinylog.Logger;

/**
 * Brings the weights in force to the engines, a few at once; used on the control thread of the
 * leader. The order goes out only after its fencing number is committed.
 */
final class WeightRollout {
    static final Duration ORDER_TIMEOUT = Duration.ofSeconds(65);
    static final Duration PLACE_TIMEOUT = Duration.ofSeconds(130);
    static final Duration PAUSE_AFTER_FAILURE = Duration.ofSeconds(5);

    private final Executor mControlThread;
    private final ControlState mState;
    private final Registry mRegistry;
    private final Proposals mProposals;
    private final AgentConnections mConnections;
    private final Clock mClock;
    private final int mMaximumLoads;
    private final ConfigurationReader mReader = ConfigurationReader.create();
    private final Set<Long> mUnderWay = new HashSet<>();
    private final Set<String> mProposed = new HashSet<>();
    private final Map<String, Instant> mPausedUntil = new HashMap<>();
    private Optional<Configuration> mConfiguration = Optional.empty();
    private long mConfigurationRevision;

    WeightRollout(
            Executor controlThread,
            ControlState state,
            Registry registry,
            Proposals proposals,
            AgentConnections connections,
            Clock clock,
            int maximumLoads) {
        mControlThread = controlThread;
        mState = state;
        mRegistry = registry;
        mProposals = proposals;
        mConnections = connections;
        mClock = clock;
        mMaximumLoads = maximumLoads;
    }

    /** Begins, renews and ends loads as is due; to be called only while leading. */
    void tick() {
        readConfiguration();
        Instant now = mClock.instant();
        mPausedUntil.values().removeIf(until -> !until.isAfter(now));
        mConfiguration.ifPresent(configuration -> plan(configuration).forEach(this::propose));
    }

    /** Forgets what was under way, since another leader may go on with it. */
    void stopLeading() {
        mUnderWay.clear();
        mPausedUntil.clear();
    }

    private List<LoadAction> plan(Configuration configuration) {
        return new LoadPlanner(mMaximumLoads)
                .plan(
                        configuration,
                        mRegistry.agents(),
                        mState.loads(),
                        load -> mUnderWay.contains(load.getFencingNumber()),
                        mPausedUntil::containsKey);
    }

    private void readConfiguration() {
        if (mState.revision() != mConfigurationRevision) {
            mConfigurationRevision = mState.revision();
            mConfiguration = Optional.of(mReader.read(mState.configuration().toByteArray()));
        }
    }

    private void propose(LoadAction action) {
        switch (action) {
            case LoadAction.Begin begin -> begin(begin);
            case LoadAction.End end -> end(end.agent(), end.fencingNumber());
        }
    }

    private void begin(LoadAction.Begin begin) {
        if (mConnections.connection(begin.agent(), begin.boot()).isEmpty()
                || !mProposed.add(begin.agent())) {
            return;
        }
        BeginLoad command =
                BeginLoad.newBuilder()
                        .setAgent(begin.agent())
                        .setBoot(begin.boot())
                        .setModel(begin.model())
                        .setWeightsVersion(begin.weightsVersion())
                        .setMaximumLoads(mMaximumLoads)
                        .setTimeoutMilliseconds(PLACE_TIMEOUT.toMillis())
                        .build();
        mProposals
                .propose(Command.newBuilder().setBeginLoad(command))
                .whenComplete(
                        (result, failure) -> {
                            mProposed.remove(begin.agent());
                            if (failure == null && result.getLoad().getFencingNumber() > 0) {
                                order(begin, result.getLoad().getFencingNumber());
                            }
                        });
    }

    private void order(LoadAction.Begin begin, long fencingNumber) {
        Optional<WireConnection> connection = mConnections.connection(begin.agent(), begin.boot());
        if (connection.isEmpty()) {
            pause(begin.agent());
            return;
        }
        mUnderWay.add(fencingNumber);
        EngineOrder order =
                EngineOrder.newBuilder()
                        .setFencingNumber(fencingNumber)
                        .setBoot(begin.boot())
                        .setModel(begin.model())
                        .setWeightsVersion(begin.weightsVersion())
                        .build();
        Logger.info(
                "event=load_ordered agent={} model={} weights={} number={}",
                begin.agent(),
                begin.model(),
                begin.weightsVersion(),
                fencingNumber);
        connection
                .get()
                .call(Frame.newBuilder().setEngineOrder(order), ORDER_TIMEOUT)
                .whenCompleteAsync(
                        (frame, failure) -> answered(begin.agent(), fencingNumber, frame),
                        mControlThread);
    }

    /**
     * An accepted load ends when the agent announces the new weights; a refused one ends now. A
     * lost answer ends nothing: the next plan renews the order.
     */
    private void answered(String agent, long fencingNumber, Frame frame) {
        if (frame == null) {
            mUnderWay.remove(fencingNumber);
            pause(agent);
        } else if (!frame.getEngineOrderReply().getAccepted()) {
            Logger.warn(
                    "event=load_refused agent={} number={} code={}",
                    agent,
                    fencingNumber,
                    frame.getEngineOrderReply().getCode());
            mUnderWay.remove(fencingNumber);
            pause(agent);
            end(agent, fencingNumber);
        }
    }

    private void end(String agent, long fencingNumber) {
        if (!mProposed.add(agent)) {
            return;
        }
        EndLoad command = EndLoad.newBuilder().setFencingNumber(fencingNumber).build();
        mProposals
                .propose(Command.newBuilder().setEndLoad(command))
                .whenComplete(
                        (result, failure) -> {
                            mProposed.remove(agent);
                            mUnderWay.remove(fencingNumber);
                        });
    }

    private void pause(String agent) {
        mPausedUntil.put(agent, mClock.instant().plus(PAUSE_AFTER_FAILURE));
    }
}
