package org.ibisstand.settings;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads and writes routing configurations and refuses those that contradict themselves. */
public final class RoutingConfigurationReader {
    private final JsonReader mJson = JsonReader.create();
    private final RecordChecker mChecker = RecordChecker.reporting(ErrorCode.CONFIGURATION_INVALID);

    private RoutingConfigurationReader() {}

    /** Returns a reader that checks what it reads. */
    public static RoutingConfigurationReader create() {
        return new RoutingConfigurationReader();
    }

    /**
     * Reads and checks a configuration.
     *
     * @param json the text, as UTF-8
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public RoutingConfiguration read(byte[] json) {
        RoutingConfiguration configuration =
                mJson.read(json, RoutingConfiguration.class, ErrorCode.CONFIGURATION_INVALID);
        check(configuration);
        return configuration;
    }

    /**
     * Writes a configuration in the form that {@link #read} accepts.
     *
     * @param configuration what to write
     */
    public byte[] write(RoutingConfiguration configuration) {
        return mJson.writeCompact(configuration);
    }

    /**
     * Checks a configuration as a whole.
     *
     * @param configuration what to check
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public void check(RoutingConfiguration configuration) {
        mChecker.check(configuration);
        Set<String> services =
                configuration.services().stream()
                        .map(RoutedService::name)
                        .collect(Collectors.toSet());
        Set<String> places = new HashSet<>();
        List<Route> routes = configuration.routes();
        for (int index = 0; index < routes.size(); index++) {
            checkRoute("$.routes[" + index + "]", routes.get(index), services, places);
        }
        configuration.teams().ifPresent(RoutingConfigurationReader::checkTeams);
    }

    private static void checkRoute(
            String path, Route route, Set<String> services, Set<String> places) {
        if (!route.pathPrefix().endsWith("/")) {
            throw invalid(path + ".path_prefix: must end with a slash");
        }
        if (!places.add(route.host() + " " + route.pathPrefix())) {
            throw invalid(path + ": another route has the same host and path prefix");
        }
        long sum = 0;
        for (Route.WeightedService weighted : route.services()) {
            if (!services.contains(weighted.service())) {
                throw invalid(path + ".services: unknown service '" + weighted.service() + "'");
            }
            sum += weighted.weight();
        }
        if (sum == 0) {
            throw invalid(path + ".services: the weights add up to 0");
        }
    }

    private static void checkTeams(List<RoutingConfiguration.TeamKeys> teams) {
        checkKeys(teams);
        for (int index = 0; index < teams.size(); index++) {
            String path = "$.teams[" + index + "].quota";
            teams.get(index).quota().ifPresent(quota -> checkQuota(path, quota));
        }
    }

    private static void checkQuota(String path, TeamQuota quota) {
        checkUnits(path + ".units_per_second", quota.unitsPerSecond());
        checkUnits(path + ".burst", quota.burst());
        checkUnits(path + ".default_tokens", quota.defaultTokens());
    }

    private static void checkUnits(String path, double units) {
        if (!Double.isFinite(units) || units < 0) {
            throw invalid(path + ": " + units + " is not allowed; needed is a number of 0 or more");
        }
    }

    private static void checkKeys(List<RoutingConfiguration.TeamKeys> teams) {
        Map<String, String> teamOfKey = new HashMap<>();
        for (RoutingConfiguration.TeamKeys team : teams) {
            for (String key : team.keys()) {
                String other = teamOfKey.put(key, team.name());
                if (other != null && !other.equals(team.name())) {
                    throw invalid("$.teams: '" + team.name() + "' and '" + other + "' share a key");
                }
            }
        }
    }

    private static IbisstandException invalid(String message) {
        return new IbisstandException(ErrorCode.CONFIGURATION_INVALID, message);
    }
}
