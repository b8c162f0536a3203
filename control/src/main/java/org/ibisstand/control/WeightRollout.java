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
 * Rolls out the weights versions of the configuration in force to the engines, a limited number at
 * once; used on the control thread of the leader. An order is sent only after its fencing number is
 * committed.
 */
final class WeightRollout {
    static final Duration ORDER_TIMEOUT = Duration.ofSeconds(65);
    static final Duration LOAD_SLOT_TIMEOUT = Duration.ofSeconds(130);
    static final Duration PAUSE_AFTER_FAILURE = Duration.ofSeconds(5);

    private final Executor mControlThread;
    private final ControlState mState;
    private final Registry mRegistry;
    private final CommandProposer mProposer;
    private final AgentConnections mConnections;
    private final Clock mClock;
    private final int mMaximumLoads;
    private final ConfigurationReader mReader = ConfigurationReader.create();
    private final Set<Long> mAwaitedFencingNumbers = new HashSet<>();
    private final Set<String> mAgentsWithOpenProposal = new HashSet<>();
    private final Map<String, Instant> mPausedUntil = new HashMap<>();
    private Optional<Configuration> mConfiguration = Optional.empty();
    private long mConfigurationRevision;

    WeightRollout(
            Executor controlThread,
            ControlState state,
            Registry registry,
            CommandProposer proposer,
            AgentConnections connections,
            Clock clock,
            int maximumLoads) {
        mControlThread = controlThread;
        mState = state;
        mRegistry = registry;
        mProposer = proposer;
        mConnections = connections;
        mClock = clock;
        mMaximumLoads = maximumLoads;
    }

    /** Begins, renews and ends loads where due; called only while this member leads. */
    void tick() {
        readConfiguration();
        Instant now = mClock.instant();
        mPausedUntil.values().removeIf(pauseEnd -> !pauseEnd.isAfter(now));
        mConfiguration.ifPresent(configuration -> plan(configuration).forEach(this::propose));
    }

    /** Discards the awaited replies and pauses, since another leader may continue the rollout. */
    void stopLeading() {
        mAwaitedFencingNumbers.clear();
        mPausedUntil.clear();
    }

    private List<LoadAction> plan(Configuration configuration) {
        return new LoadPlanner(mMaximumLoads)
                .plan(
                        configuration,
                        mRegistry.agents(),
                        mState.loads(),
                        load -> mAwaitedFencingNumbers.contains(load.getFencingNumber()),
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
            case LoadAction.Begin begin -> proposeBegin(begin);
            case LoadAction.End end -> proposeEnd(end.agent(), end.fencingNumber());
        }
    }

    private void proposeBegin(LoadAction.Begin begin) {
        if (mConnections.connection(begin.agent(), begin.boot()).isEmpty()
                || !mAgentsWithOpenProposal.add(begin.agent())) {
            return;
        }
        BeginLoad command =
                BeginLoad.newBuilder()
                        .setAgent(begin.agent())
                        .setBoot(begin.boot())
                        .setModel(begin.model())
                        .setWeightsVersion(begin.weightsVersion())
                        .setMaximumLoads(mMaximumLoads)
                        .setTimeoutMilliseconds(LOAD_SLOT_TIMEOUT.toMillis())
                        .build();
        mProposer
                .propose(Command.newBuilder().setBeginLoad(command))
                .whenComplete(
                        (result, failure) -> {
                            mAgentsWithOpenProposal.remove(begin.agent());
                            if (failure == null && result.getLoad().getFencingNumber() > 0) {
                                sendOrder(begin, result.getLoad().getFencingNumber());
                            }
                        });
    }

    private void sendOrder(LoadAction.Begin begin, long fencingNumber) {
        Optional<WireConnection> connection = mConnections.connection(begin.agent(), begin.boot());
        if (connection.isEmpty()) {
            pauseAgent(begin.agent());
            return;
        }
        mAwaitedFencingNumbers.add(fencingNumber);
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
                        (frame, failure) -> handleReply(begin.agent(), fencingNumber, frame),
                        mControlThread);
    }

    /**
     * Ends a refused load at once; an accepted one ends when the agent announces the new weights.
     * If the reply is lost, the load stays, and the next plan renews the order.
     */
    private void handleReply(String agent, long fencingNumber, Frame frame) {
        if (frame == null) {
            mAwaitedFencingNumbers.remove(fencingNumber);
            pauseAgent(agent);
        } else if (!frame.getEngineOrderReply().getAccepted()) {
            Logger.warn(
                    "event=load_refused agent={} number={} code={}",
                    agent,
                    fencingNumber,
                    frame.getEngineOrderReply().getCode());
            mAwaitedFencingNumbers.remove(fencingNumber);
            pauseAgent(agent);
            proposeEnd(agent, fencingNumber);
        }
    }

    private void proposeEnd(String agent, long fencingNumber) {
        if (!mAgentsWithOpenProposal.add(agent)) {
            return;
        }
        EndLoad command = EndLoad.newBuilder().setFencingNumber(fencingNumber).build();
        mProposer
                .propose(Command.newBuilder().setEndLoad(command))
                .whenComplete(
                        (result, failure) -> {
                            mAgentsWithOpenProposal.remove(agent);
                            mAwaitedFencingNumbers.remove(fencingNumber);
                        });
    }

    private void pauseAgent(String agent) {
        mPausedUntil.put(agent, mClock.instant().plus(PAUSE_AFTER_FAILURE));
    }
}
