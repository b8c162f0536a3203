package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;
import org.ibisstand.settings.TeamQuota;

/** A routing configuration indexed for lookups; immutable. */
final class RouteTable {
    private final RoutingConfiguration mConfiguration;
    private final Map<String, Map<String, Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, TeamKeys> mTeamByKey = new HashMap<>();
    private final Map<String, RoutedService> mServices = new HashMap<>();
    private final Set<String> mTeamsWithQuota;
    private final CacheStores mCacheStores;

    private RouteTable(RoutingConfiguration configuration) {
        mConfiguration = configuration;
        for (Route route : configuration.routes()) {
            mRoutesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        configuration
                .teams()
                .ifPresent(
                        teams ->
                                teams.forEach(
                                        team ->
                                                team.keys()
                                                        .forEach(
                                                                key -> mTeamByKey.put(key, team))));
        configuration.services().forEach(service -> mServices.put(service.name(), service));
        mTeamsWithQuota =
                configuration.teams().stream()
                        .flatMap(List::stream)
                        .filter(team -> team.quota().filter(TeamQuota::hasLimit).isPresent())
                        .map(TeamKeys::name)
                        .collect(Collectors.toUnmodifiableSet());
        mCacheStores =
                new CacheStores(
                        configuration.services().stream()
                                .flatMap(service -> service.cacheStore().stream())
                                .toList());
    }

    static RouteTable of(RoutingConfiguration configuration) {
        return new RouteTable(configuration);
    }

    long version() {
        return mConfiguration.version();
    }

    RoutingConfiguration.CallerLimits limits() {
        return mConfiguration.callerLimits();
    }

    /** Returns whether routes that are not open require an API key. */
    boolean requiresKeys() {
        return mConfiguration.teams().isPresent();
    }

    Optional<TeamKeys> teamForKey(String key) {
        return Optional.ofNullable(mTeamByKey.get(key));
    }

    /** Returns the names of the teams whose requests count against a quota. */
    Set<String> teamsWithQuota() {
        return mTeamsWithQuota;
    }

    Optional<RoutedService> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    CacheStores cacheStores() {
        return mCacheStores;
    }

    /**
     * Returns the route of a host with the longest prefix of the path.
     *
     * @param host the host from the request, with or without a port
     * @param path the path of the request, without its query
     */
    Optional<Route> findRoute(String host, String path) {
        Map<String, Route> routes = mRoutesByHost.get(withoutPort(host).toLowerCase(Locale.ROOT));
        if (routes == null) {
            return Optional.empty();
        }
        int slash = path.lastIndexOf('/');
        while (slash >= 0) {
            Route route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
            slash = path.lastIndexOf('/', slash - 1);
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }
}
