package org.ibisstand.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BinaryOperator;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;

/** Joins what several members of control tell into one list; a decision without input or output. */
final class FleetMerge {
    private static final BinaryOperator<ServerRecord> LATER = FleetMerge::later;

    private FleetMerge() {}

    /**
     * Returns the servers that may be used or are leaving.
     *
     * <p>A server that any member lists is there, unless a member knows that it left. While no
     * member has run long enough to know all servers, those known before stay.
     *
     * @param updates the newest update of each member that is connected
     * @param before the servers known until now
     */
    static List<ServerRecord> servers(
            Collection<FleetUpdate> updates, Collection<ServerRecord> before) {
        Map<String, ServerRecord> servers = new TreeMap<>();
        if (updates.stream().noneMatch(FleetUpdate::getComplete)) {
            before.forEach(record -> servers.put(record.getServer(), record));
        }
        updates.forEach(
                update ->
                        update.getServersList()
                                .forEach(
                                        record ->
                                                servers.merge(record.getServer(), record, LATER)));
        return servers.values().stream().filter(one -> one.getState() != State.GONE).toList();
    }

    /**
     * Returns what one member knows after a further update of it.
     *
     * @param before what it had told, whole
     * @param update the next update on the same connection
     */
    static FleetUpdate joined(FleetUpdate before, FleetUpdate update) {
        if (update.getWhole()) {
            return update;
        }
        Map<String, ServerRecord> servers = new LinkedHashMap<>();
        before.getServersList().forEach(record -> servers.put(record.getServer(), record));
        update.getServersList().forEach(record -> servers.put(record.getServer(), record));
        servers.keySet().removeAll(update.getUnlistedList());
        return update.toBuilder()
                .clearServers()
                .clearUnlisted()
                .addAllServers(servers.values())
                .build();
    }

    /** Returns the highest named version of each model. */
    static Map<String, Long> weights(Collection<FleetUpdate> updates, Map<String, Long> before) {
        Map<String, Long> weights = new HashMap<>(before);
        updates.forEach(
                update ->
                        update.getWeightsMap()
                                .forEach((model, named) -> weights.merge(model, named, Math::max)));
        return weights;
    }

    private static ServerRecord later(ServerRecord one, ServerRecord other) {
        if (one.getBornMilliseconds() != other.getBornMilliseconds()) {
            return one.getBornMilliseconds() > other.getBornMilliseconds() ? one : other;
        }
        if ((one.getState() == State.GONE) != (other.getState() == State.GONE)) {
            return one.getState() == State.GONE ? one : other;
        }
        if ((one.getState() == State.DRAINING) != (other.getState() == State.DRAINING)) {
            return one.getState() == State.DRAINING ? one : other;
        }
        return one.getSequence() >= other.getSequence() ? one : other;
    }
}
