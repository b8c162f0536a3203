package org.ibisstand.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.FleetWatch;
import org.ibisstand.wire.message.Frame;

/**
 * Keeps entries and agents up to date about routing, weights and backend servers; used on the
 * control thread. A watcher that reads slowly is skipped until it has caught up.
 */
final class FleetWatchers {
    private final ControlState mState;
    private final ServerDirectory mDirectory;
    private final Supplier<List<String>> mMembers;
    private final Clock mClock;
    private final Map<WireConnection, Position> mWatchers = new LinkedHashMap<>();

    FleetWatchers(
            ControlState state,
            ServerDirectory directory,
            Supplier<List<String>> members,
            Clock clock) {
        mState = state;
        mDirectory = directory;
        mMembers = members;
        mClock = clock;
    }

    /** Adds a watcher and sends it all that it lacks. */
    void watch(WireConnection connection, long correlation, FleetWatch watch) {
        mWatchers.put(
                connection,
                new Position(
                        correlation,
                        !watch.getProcess().isEmpty(),
                        watch.getRoutingVersion(),
                        0,
                        0,
                        List.of(),
                        0,
                        false));
        flush();
    }

    void closed(WireConnection connection) {
        mWatchers.remove(connection);
    }

    /** Sends every watcher what changed since its last update. */
    void flush() {
        List<String> members = mMembers.get();
        int entries = (int) mWatchers.values().stream().filter(Position::isEntry).count();
        boolean complete = mDirectory.isComplete(mClock.instant());
        Map<Lack, FleetUpdate> updates = new HashMap<>();
        mWatchers.replaceAll(
                (connection, position) -> {
                    Position now =
                            new Position(
                                    position.correlation(),
                                    position.isEntry(),
                                    Math.max(position.version(), mState.routing().version()),
                                    mDirectory.revision(),
                                    mState.routing().weights().hashCode(),
                                    members,
                                    entries,
                                    complete);
                    if (now.equals(position) || !connection.isWritable()) {
                        return position;
                    }
                    FleetUpdate update =
                            updates.computeIfAbsent(position.lack(), lack -> update(lack, now));
                    connection.send(now.correlation(), Frame.newBuilder().setFleetUpdate(update));
                    return now;
                });
    }

    /** Passes the state of engines on to all watchers; one that reads slowly misses it. */
    void tell(EngineNotices notices) {
        mWatchers.forEach(
                (connection, position) -> {
                    if (connection.isWritable()) {
                        connection.send(
                                position.correlation(),
                                Frame.newBuilder().setEngineNotices(notices));
                    }
                });
    }

    /** Returns what watchers lack, which is the same for most of them. */
    private FleetUpdate update(Lack lack, Position now) {
        FleetUpdate.Builder update =
                FleetUpdate.newBuilder()
                        .setRoutingVersion(mState.routing().version())
                        .putAllWeights(mState.routing().weights())
                        .addAllMembers(now.members())
                        .setEntries(now.entries())
                        .setComplete(now.complete());
        if (mDirectory.tellsChangesSince(lack.directoryRevision())) {
            update.addAllServers(mDirectory.changedSince(lack.directoryRevision()))
                    .addAllUnlisted(mDirectory.unlistedSince(lack.directoryRevision()));
        } else {
            update.setWhole(true).addAllServers(mDirectory.records());
        }
        if (lack.isEntry() && mState.routing().version() > lack.version()) {
            update.setRouting(mState.routing().json());
        }
        return update.build();
    }

    /** What decides which update a watcher needs. */
    private record Lack(boolean isEntry, long version, long directoryRevision) {}

    /** What a watcher has been told. */
    private record Position(
            long correlation,
            boolean isEntry,
            long version,
            long directoryRevision,
            int weights,
            List<String> members,
            int entries,
            boolean complete) {
        Lack lack() {
            return new Lack(isEntry, version, directoryRevision);
        }
    }
}
