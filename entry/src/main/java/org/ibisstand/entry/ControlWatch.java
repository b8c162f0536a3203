package org.ibisstand.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Fleet;
import org.ibisstand.routing.ServedModel;
import org.ibisstand.settings.ConfigurationReader;
import org.ibisstand.wire.AnswerHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AgentRecord;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Update;
import org.ibisstand.wire.message.Watch;
import org.tinylog.Logger;

/**
 * Keeps the entry's state up to date from the members of control.
 *
 * <p>A lower revision than the one in force is never applied, whoever sends it. When control is
 * gone the entry serves on by what it last heard. For the control thread only, but for {@link
 * #opened}.
 */
final class ControlWatch {
    private final String mProcess;
    private final ScheduledExecutorService mControlThread;
    private final AtomicReference<EntryState> mState;
    private final AgentConnections mAgents;
    private final ConfigurationReader mReader = ConfigurationReader.create();
    private final Map<AgentIdentifier, AgentRecord> mRecords = new HashMap<>();
    private final Map<WireConnection, Long> mWatched = new HashMap<>();
    private long mRegistryEpoch;
    private long mRegistrySequence;

    ControlWatch(
            String process,
            ScheduledExecutorService controlThread,
            AtomicReference<EntryState> state,
            AgentConnections agents) {
        mProcess = process;
        mControlThread = controlThread;
        mState = state;
        mAgents = agents;
    }

    /** Starts to watch over a connection that has opened; may be called from any thread. */
    void opened(WireConnection connection) {
        mControlThread.execute(() -> watch(connection));
    }

    private void watch(WireConnection connection) {
        Watch watch =
                Watch.newBuilder()
                        .setProcess(mProcess)
                        .setRevision(mState.get().revision())
                        .setRegistryEpoch(mRegistryEpoch)
                        .setRegistrySequence(mRegistrySequence)
                        .build();
        Updates updates = new Updates(connection);
        mWatched.put(connection, connection.open(Frame.newBuilder().setWatch(watch), updates));
    }

    /** Tells every member which revision is in force here, for the status that operators see. */
    private void reportRevision() {
        mWatched.keySet().removeIf(connection -> !connection.isOpen());
        Watch report =
                Watch.newBuilder()
                        .setProcess(mProcess)
                        .setRevision(mState.get().revision())
                        .build();
        mWatched.forEach(
                (connection, correlation) ->
                        connection.send(correlation, Frame.newBuilder().setWatch(report)));
    }

    private void update(Update update) {
        applyConfiguration(update);
        applyRegistry(update);
    }

    private void applyConfiguration(Update update) {
        EntryState state = mState.get();
        if (update.getRevision() > state.revision() && !update.getConfiguration().isEmpty()) {
            apply(update);
        } else if (update.getRevision() == state.revision()
                && update.getConfirmed()
                && !state.confirmed()) {
            mState.set(state.withConfirmed(true));
        }
    }

    private void apply(Update update) {
        try {
            var configuration = mReader.read(update.getConfiguration().toByteArray());
            mState.set(
                    mState.get()
                            .withConfiguration(
                                    update.getRevision(), update.getConfirmed(), configuration));
            Logger.info(
                    "event=configuration_applied revision={} confirmed={}",
                    update.getRevision(),
                    update.getConfirmed());
            reportRevision();
        } catch (IbisstandException e) {
            Logger.error(
                    "event=configuration_refused revision={} code={} message={}",
                    update.getRevision(),
                    e.code(),
                    e.getMessage());
        }
    }

    private void applyRegistry(Update update) {
        if (update.getRegistryEpoch() < mRegistryEpoch || update.getRegistryEpoch() == 0) {
            return;
        }
        if (!update.getRegistryWhole()
                && update.getAgentsCount() == 0
                && update.getRemovedAgentsCount() == 0) {
            return;
        }
        mRegistryEpoch = update.getRegistryEpoch();
        mRegistrySequence = update.getRegistrySequence();
        if (update.getRegistryWhole()) {
            mRecords.clear();
        }
        update.getRemovedAgentsList().forEach(name -> mRecords.remove(new AgentIdentifier(name)));
        for (AgentRecord record : update.getAgentsList()) {
            mRecords.put(new AgentIdentifier(record.getAgent()), record);
        }
        publish();
    }

    private void publish() {
        List<AgentView> views = new ArrayList<>();
        Map<AgentIdentifier, String> addresses = new HashMap<>();
        mRecords.forEach(
                (agent, record) -> {
                    views.add(view(agent, record));
                    addresses.put(agent, record.getAddress());
                });
        mAgents.update(addresses);
        mState.set(mState.get().withFleet(Fleet.of(views), addresses));
    }

    private static AgentView view(AgentIdentifier agent, AgentRecord record) {
        return new AgentView(
                agent,
                new BootIdentifier(record.getBoot()),
                record.getZone(),
                record.getModelsList().stream()
                        .map(one -> new ServedModel(one.getModel(), one.getWeightsVersion()))
                        .toList(),
                record.getServicesList(),
                record.getLeaving());
    }

    /** Receives the updates that one member pushes. */
    private final class Updates implements AnswerHandler {
        private static final long RETRY_MILLISECONDS = 250;

        private final WireConnection mConnection;

        Updates(WireConnection connection) {
            mConnection = connection;
        }

        @Override
        public void answered(Frame frame) {
            if (frame.hasUpdate()) {
                mControlThread.execute(() -> update(frame.getUpdate()));
            } else if (frame.hasFailure()) {
                // The member cannot serve a watch now, for example while it elects a leader.
                mControlThread.schedule(this::again, RETRY_MILLISECONDS, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void lost(IbisstandException cause) {
            Logger.info("event=control_lost member={}", mConnection.remoteAddress());
        }

        private void again() {
            if (mConnection.isOpen()) {
                watch(mConnection);
            }
        }
    }
}
