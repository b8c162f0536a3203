package org.ibisstand.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.wire.message.ServerRecord;

/**
 * What a process knows of routing and backend servers; never changes.
 *
 * @param routing the configuration in force, if one is known
 * @param weights the newest named version of the weights of each model
 * @param servers the backend servers that may be used or are leaving
 * @param entries how many entries share budgets and connection limits
 */
public record FleetState(
        Optional<RoutingConfiguration> routing,
        Map<String, Long> weights,
        List<ServerRecord> servers,
        int entries) {
    /** Before anything was heard. */
    public static final FleetState NONE = new FleetState(Optional.empty(), Map.of(), List.of(), 1);

    /** Copies the collections, so that a state never changes. */
    public FleetState {
        weights = Map.copyOf(weights);
        servers = List.copyOf(servers);
    }
}
