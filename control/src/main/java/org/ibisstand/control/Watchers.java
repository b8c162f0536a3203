package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Update;
import org.ibisstand.wire.message.Watch;

/**
 * Sends the configuration and the agent registry to the processes that watch them; used on the
 * control thread. Changes between two flushes reach a watcher as one update, and a watcher that
 * reads slowly is skipped until its connection is writable again.
 */
final class Watchers {
    private final ControlState mState;
    private final Registry mRegistry;
    private final Map<WatcherKey, Watcher> mWatchers = new LinkedHashMap<>();
    private boolean mConfirmed;

    private Watchers(ControlState state, Registry registry) {
        mState = state;
        mRegistry = registry;
    }

    static Watchers create(ControlState state, Registry registry) {
        return new Watchers(state, registry);
    }

    /**
     * Adds a watcher and sends it an update immediately; for a known watcher, stores the revision
     * that it reports to have in force.
     */
    void watch(WireConnection connection, long correlation, Watch watch) {
        WatcherKey key = new WatcherKey(connection, correlation);
        Watcher existing = mWatchers.get(key);
        if (existing != null) {
            existing.setRevisionInForce(watch);
            return;
        }
        Watcher watcher = new Watcher(connection, correlation, watch);
        mWatchers.put(key, watcher);
        sendUpdate(watcher, registryUpdateFor(watcher));
    }

    void closed(WireConnection connection) {
        mWatchers.keySet().removeIf(key -> key.connection() == connection);
    }

    /** Sets whether this member is connected to a quorum, which is also sent to watchers. */
    void setConfirmed(boolean confirmed) {
        mConfirmed = confirmed;
    }

    /** Sends an update to each watcher that needs one. */
    void flush() {
        Map<RegistryPosition, RegistryUpdate> updates = new LinkedHashMap<>();
        for (Watcher watcher : mWatchers.values()) {
            RegistryPosition position =
                    new RegistryPosition(watcher.registryEpoch(), watcher.registrySequence());
            RegistryUpdate update =
                    updates.computeIfAbsent(position, unused -> registryUpdateFor(watcher));
            boolean isBehind = watcher.isBehind(mState.revision(), update, isConfirmedFor(watcher));
            if (isBehind && watcher.connection().isWritable()) {
                sendUpdate(watcher, update);
            }
        }
    }

    /** Returns the revision that each process last reported to have in force. */
    List<AppliedRevision> appliedRevisions() {
        return mWatchers.values().stream()
                .map(watcher -> new AppliedRevision(watcher.process(), watcher.revisionInForce()))
                .toList();
    }

    private RegistryUpdate registryUpdateFor(Watcher watcher) {
        return mRegistry.updateSince(watcher.registryEpoch(), watcher.registrySequence());
    }

    // A member with an older revision than its watcher cannot confirm that of the watcher.
    private boolean isConfirmedFor(Watcher watcher) {
        return mConfirmed && mState.revision() >= watcher.revisionSent();
    }

    private void sendUpdate(Watcher watcher, RegistryUpdate registryUpdate) {
        boolean confirmed = isConfirmedFor(watcher);
        Update.Builder update =
                Update.newBuilder()
                        .setRevision(mState.revision())
                        .setConfirmed(confirmed)
                        .setRegistryEpoch(registryUpdate.epoch())
                        .setRegistrySequence(registryUpdate.sequence())
                        .setRegistryWhole(registryUpdate.isFullList())
                        .addAllAgents(registryUpdate.agents())
                        .addAllRemovedAgents(registryUpdate.removed());
        configurationFor(watcher).ifPresent(update::setConfiguration);
        watcher.connection().send(watcher.correlation(), Frame.newBuilder().setUpdate(update));
        watcher.markSent(mState.revision(), registryUpdate, confirmed);
    }

    private Optional<ByteString> configurationFor(Watcher watcher) {
        return watcher.revisionSent() < mState.revision()
                ? Optional.of(mState.configuration())
                : Optional.empty();
    }

    /**
     * The revision that a process has in force.
     *
     * @param process the name that the process gave
     * @param revision the revision, zero if the process has no configuration
     */
    record AppliedRevision(String process, long revision) {}

    /** The connection and the request that the updates of one watcher belong to. */
    private record WatcherKey(WireConnection connection, long correlation) {}

    /** The epoch and sequence of the registry that a watcher has reached. */
    private record RegistryPosition(long epoch, long sequence) {}
}
