package org.ibisstand.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/** Configurations and names for tests. */
final class Samples {
    static final String HOST = "h.example";
    static final String KEY = "key";
    static final ForwardingHeaders NAMES =
            new ForwardingHeaders(
                    "x-request",
                    "x-deadline",
                    "x-team",
                    "x-expected-server",
                    "x-expected-weights",
                    "x-salt",
                    "x-source",
                    "x-target",
                    "x-urgency",
                    "x-not-executed",
                    "x-signature",
                    "x-load",
                    "x-weights",
                    "last-event-id",
                    Set.of("x-team", "x-salt", "x-source", "x-deadline"));

    private Samples() {}

    static RoutingConfiguration configuration(String... prefixes) {
        List<Route> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(route(prefix, Repetition.IDEMPOTENT));
        }
        return configuration(routes);
    }

    static RoutingConfiguration configuration(List<Route> routes) {
        return new RoutingConfiguration(
                1,
                routes,
                List.of(
                        new RoutedService(
                                "service", "/health", 100, Optional.empty(), Optional.empty())),
                new CallerLimits(16384, 100_000, 3000, 15000),
                Optional.of(List.of(new TeamKeys("team", List.of(KEY), Optional.empty(), false))));
    }

    static Route route(String prefix, Repetition repetition) {
        return new Route(
                "route " + prefix,
                HOST,
                prefix,
                repetition,
                2_000,
                500,
                0,
                List.of(new WeightedService("service", 1)),
                2,
                false,
                false,
                400);
    }
}
