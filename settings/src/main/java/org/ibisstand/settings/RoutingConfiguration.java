package org.ibisstand.settings;

import java.util.List;
import java.util.Optional;

/**
 * What operators decide about routing, the same for all processes; the highest version is in force.
 *
 * @param version grows with every change, in uneven steps
 * @param routes which requests go to which services
 * @param services the services that routes name
 * @param callerLimits what callers may send
 * @param teams who may call routes that are not public; empty where callers carry no keys
 */
public record RoutingConfiguration(
        @Range(from = 1, to = Long.MAX_VALUE) long version,
        @Range(from = 0, to = 100000) List<Route> routes,
        @Range(from = 0, to = 10000) List<RoutedService> services,
        CallerLimits callerLimits,
        Optional<List<TeamKeys>> teams) {
    /** Copies the lists, so that a configuration never changes. */
    public RoutingConfiguration {
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        teams = teams.map(List::copyOf);
    }

    /** Finds a service by its name. */
    public Optional<RoutedService> service(String name) {
        return services.stream().filter(service -> service.name().equals(name)).findFirst();
    }

    /**
     * What callers may send.
     *
     * @param maximumHeaderBytes the longest head of a request, in bytes
     * @param maximumBodyBytes the longest body of a request, in bytes
     * @param headerTimeoutMilliseconds how long the head of a request may take to arrive
     * @param idleTimeoutMilliseconds how long a connection may stay without a request
     */
    public record CallerLimits(
            @Range(from = 256, to = 1 << 20) int maximumHeaderBytes,
            @Range(from = 0, to = 1 << 28) int maximumBodyBytes,
            @Range(from = 1, to = 3600000) long headerTimeoutMilliseconds,
            @Range(from = 1, to = 3600000) long idleTimeoutMilliseconds) {}

    /**
     * A team and the keys that name it.
     *
     * @param name the name of the team, passed on to backend servers
     * @param keys the bearer keys of its callers
     * @param priority goes before the priority of the route, if present; zero is the most urgent
     * @param isolated whether the team shares no cached prompt with other teams
     * @param quota what the team may use at all gateways together; empty means no limit
     */
    public record TeamKeys(
            String name,
            List<String> keys,
            Optional<Integer> priority,
            boolean isolated,
            Optional<TeamQuota> quota) {
        /** Copies the list, so that a team never changes. */
        public TeamKeys {
            keys = List.copyOf(keys);
        }

        /**
         * Creates a team without a quota.
         *
         * @param name the name of the team, passed on to backend servers
         * @param keys the bearer keys of its callers
         * @param priority goes before the priority of the route, if present; zero is the most
         *     urgent
         * @param isolated whether the team shares no cached prompt with other teams
         */
        public TeamKeys(
                String name, List<String> keys, Optional<Integer> priority, boolean isolated) {
            this(name, keys, priority, isolated, Optional.empty());
        }
    }
}
