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
 * Keeps watchers up to date; used on the control thread. Changes between two flushes reach a
 * watcher as one update, and a watcher that reads slowly is skipped until it has caught up.
 */
final class Watchers {
    private final ControlState mState;
    private final Registry mRegistry;
    private final Map<Place, Watcher> mWatchers = new LinkedHashMap<>();
    private boolean mConfirmed;

    private Watchers(ControlState state, Registry registry) {
        mState = state;
        mRegistry = registry;
    }

    static Watchers create(ControlState state, Registry registry) {
        return new Watchers(state, registry);
    }

    /** Adds a watcher and answers it at once, or notes the revision that it has in force. */
    void watch(WireConnection connection, long correlation, Watch watch) {
        Place place = new Place(connection, correlation);
        Watcher known = mWatchers.get(place);
        if (known != null) {
            known.reports(watch);
            return;
        }
        Watcher watcher = new Watcher(connection, correlation, watch);
        mWatchers.put(place, watcher);
        update(watcher, changeFor(watcher));
    }

    void closed(WireConnection connection) {
        mWatchers.keySet().removeIf(place -> place.connection() == connection);
    }

    /** Says whether this member is in touch with a quorum, which watchers learn as well. */
    void confirm(boolean confirmed) {
        mConfirmed = confirmed;
    }

    /** Sends every watcher what it lacks. */
    void flush() {
        Map<Position, RegistryChange> changes = new LinkedHashMap<>();
        for (Watcher watcher : mWatchers.values()) {
            Position position = new Position(watcher.registryEpoch(), watcher.registrySequence());
            RegistryChange change = changes.computeIfAbsent(position, unused -> changeFor(watcher));
            boolean lags = watcher.lags(mState.revision(), change, confirmedFor(watcher));
            if (lags && watcher.connection().isWritable()) {
                update(watcher, change);
            }
        }
    }

    /** Returns the revision that a process had in force when it last reported. */
    List<Applied> applied() {
        return mWatchers.values().stream()
                .map(watcher -> new Applied(watcher.process(), watcher.revisionInForce()))
                .toList();
    }

    private RegistryChange changeFor(Watcher watcher) {
        return mRegistry.since(watcher.registryEpoch(), watcher.registrySequence());
    }

    // A member that is behind its watcher cannot confirm what the watcher has in force.
    private boolean confirmedFor(Watcher watcher) {
        return mConfirmed && mState.revision() >= watcher.revisionSent();
    }

    private void update(Watcher watcher, RegistryChange change) {
        boolean confirmed = confirmedFor(watcher);
        Update.Builder update =
                Update.newBuilder()
                        .setRevision(mState.revision())
                        .setConfirmed(confirmed)
                        .setRegistryEpoch(change.epoch())
                        .setRegistrySequence(change.sequence())
                        .setRegistryWhole(change.whole())
                        .addAllAgents(change.agents())
                        .addAllRemovedAgents(change.removed());
        configurationFor(watcher).ifPresent(update::setConfiguration);
        watcher.connection().send(watcher.correlation(), Frame.newBuilder().setUpdate(update));
        watcher.sent(mState.revision(), change, confirmed);
    }

    private Optional<ByteString> configurationFor(Watcher watcher) {
        return watcher.revisionSent() < mState.revision()
                ? Optional.of(mState.configuration())
                : Optional.empty();
    }

    /**
     * The revision that a process has in force.
     *
     * @param process the name that it gave
     * @param revision zero if it has none
     */
    record Applied(String process, long revision) {}

    /** Where the updates of one watcher go. */
    private record Place(WireConnection connection, long correlation) {}

    /** How far a watcher knows the registry. */
    private record Position(long epoch, long sequence) {}
}
