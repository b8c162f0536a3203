package org.ibisstand.control;

import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.ibisstand.fleet.MemberList;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.FleetWatch;
import org.ibisstand.wire.message.Frame;

/**
 * Sends routing, weights versions and backend servers to the entries and agents that watch them;
 * used on the control thread. A watcher that reads slowly is skipped until its connection is
 * writable again.
 */
final class FleetWatchers {
    /**
     * The size of updates that may wait to be written to connections; other watchers get theirs
     * with the next flush. A large configuration times the number of gateways exceeds the memory of
     * a member. Updates to frozen gateways stay unwritten until their connections are closed, so
     * the limit leaves room for the others.
     */
    private static final long UNWRITTEN_BYTES_LIMIT = 16 << 20;

    private final ControlState mState;
    private final ServerDirectory mDirectory;
    private final Supplier<MemberList> mMembers;
    private final Clock mClock;
    private final Map<WireConnection, SentState> mWatchers = new LinkedHashMap<>();
    private final AtomicLong mUnwrittenBytes = new AtomicLong();

    FleetWatchers(
            ControlState state,
            ServerDirectory directory,
            Supplier<MemberList> members,
            Clock clock) {
        mState = state;
        mDirectory = directory;
        mMembers = members;
        mClock = clock;
    }

    /** Adds a watcher and sends it the current state. */
    void watch(WireConnection connection, long correlation, FleetWatch watch) {
        mWatchers.put(
                connection,
                new SentState(
                        correlation,
                        !watch.getProcess().isEmpty(),
                        watch.getRoutingVersion(),
                        0,
                        0,
                        Set.of(),
                        0,
                        false));
        flush();
    }

    void closed(WireConnection connection) {
        mWatchers.remove(connection);
    }

    /** Sends each watcher the changes since its last update. */
    void flush() {
        MemberList members = mMembers.get();
        int entries = (int) mWatchers.values().stream().filter(SentState::isEntry).count();
        boolean isComplete = mDirectory.isComplete(mClock.instant());
        Map<UpdateKey, FleetUpdate> updates = new HashMap<>();
        mWatchers.replaceAll(
                (connection, sent) -> {
                    SentState current =
                            new SentState(
                                    sent.correlation(),
                                    sent.isEntry(),
                                    Math.max(sent.routingVersion(), mState.routing().version()),
                                    mDirectory.revision(),
                                    mState.routing().weights().hashCode(),
                                    members.addresses(),
                                    entries,
                                    isComplete);
                    if (current.equals(sent)
                            || !connection.isWritable()
                            || mUnwrittenBytes.get() >= UNWRITTEN_BYTES_LIMIT) {
                        return sent;
                    }
                    FleetUpdate update =
                            updates.computeIfAbsent(
                                    sent.updateKey(), key -> createUpdate(key, current, members));
                    send(connection, current.correlation(), update);
                    return current;
                });
    }

    private void send(WireConnection connection, long correlation, FleetUpdate update) {
        int bytes = update.getSerializedSize();
        mUnwrittenBytes.addAndGet(bytes);
        connection.send(
                correlation,
                Frame.newBuilder().setFleetUpdate(update),
                () -> mUnwrittenBytes.addAndGet(-bytes));
    }

    /** Sends engine states to all watchers; a watcher that reads slowly misses them. */
    void sendEngineNotices(EngineNotices notices) {
        mWatchers.forEach(
                (connection, sent) -> {
                    if (connection.isWritable()) {
                        connection.send(
                                sent.correlation(), Frame.newBuilder().setEngineNotices(notices));
                    }
                });
    }

    /** Builds the update for all watchers with the same key. */
    private FleetUpdate createUpdate(UpdateKey key, SentState current, MemberList members) {
        FleetUpdate.Builder update =
                FleetUpdate.newBuilder()
                        .setRoutingVersion(mState.routing().version())
                        .putAllWeights(mState.routing().weights())
                        .addAllMembers(members.addresses())
                        .setMembersTerm(members.term())
                        .setMembersIndex(members.index())
                        .setEntries(current.entries())
                        .setComplete(current.isComplete());
        if (mDirectory.canListChangesSince(key.directoryRevision())) {
            update.addAllServers(mDirectory.changedSince(key.directoryRevision()))
                    .addAllUnlisted(mDirectory.unlistedSince(key.directoryRevision()));
        } else {
            update.setWhole(true).addAllServers(mDirectory.records());
        }
        if (key.isEntry() && mState.routing().version() > key.routingVersion()) {
            update.setRouting(mState.routing().json());
        }
        return update.build();
    }

    /**
     * Determines which update a watcher needs; the same for most watchers, which share one update.
     */
    private record UpdateKey(boolean isEntry, long routingVersion, long directoryRevision) {}

    /** The state that was last sent to a watcher. */
    private record SentState(
            long correlation,
            boolean isEntry,
            long routingVersion,
            long directoryRevision,
            int weightsHash,
            Set<String> members,
            int entries,
            boolean isComplete) {
        UpdateKey updateKey() {
            return new UpdateKey(isEntry, routingVersion, directoryRevision);
        }
    }
}
