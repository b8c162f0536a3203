package org.ibisstand.settings;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Checks that the parts of one configuration fit each other. */
final class ConfigurationChecker {
    private static final int NAMES_SHOWN = 20;

    private final Configuration mConfiguration;

    private ConfigurationChecker(Configuration configuration) {
        mConfiguration = configuration;
    }

    /**
     * Checks a configuration as a whole.
     *
     * @param configuration what to check
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    static void check(Configuration configuration) {
        RecordChecker.reporting(ErrorCode.CONFIGURATION_INVALID).check(configuration);
        ConfigurationChecker checker = new ConfigurationChecker(configuration);
        checker.checkClasses();
        checker.checkTeams();
    }

    private void checkClasses() {
        List<PriorityClass> classes = mConfiguration.priorityClasses();
        Set<String> names = uniqueNames("priority_classes", classes, PriorityClass::name);
        for (int index = 0; index < classes.size(); index++) {
            checkDeadline("$.priority_classes[" + index + "]", classes.get(index));
        }
        List<Model> models = mConfiguration.models();
        for (int index = 0; index < models.size(); index++) {
            String path = "$.models[" + index + "].priority_class";
            requireKnown(path, models.get(index).priorityClass(), names);
        }
        List<Service> services = mConfiguration.services();
        for (int index = 0; index < services.size(); index++) {
            String path = "$.services[" + index + "].priority_class";
            requireKnown(path, services.get(index).priorityClass(), names);
        }
    }

    private void checkTeams() {
        List<Team> teams = mConfiguration.teams();
        uniqueNames("teams", teams, Team::name);
        Set<String> models = uniqueNames("models", mConfiguration.models(), Model::name);
        Set<String> services = uniqueNames("services", mConfiguration.services(), Service::name);
        Map<String, String> pathOfToken = new HashMap<>();
        for (int index = 0; index < teams.size(); index++) {
            String path = "$.teams[" + index + "]";
            requireAllKnown(path + ".models", teams.get(index).models(), models);
            requireAllKnown(path + ".services", teams.get(index).services(), services);
            requireNewTokens(path, teams.get(index), pathOfToken);
        }
    }

    private static void checkDeadline(String path, PriorityClass one) {
        if (one.deadlineMilliseconds() < one.firstTokenMilliseconds()) {
            throw fault(
                    path + ".deadline_milliseconds",
                    "allowed is at least first_token_milliseconds, "
                            + one.firstTokenMilliseconds());
        }
    }

    private static void requireNewTokens(
            String teamPath, Team team, Map<String, String> pathOfToken) {
        for (int index = 0; index < team.tokenSha256().size(); index++) {
            String path = teamPath + ".token_sha256[" + index + "]";
            String earlier = pathOfToken.putIfAbsent(team.tokenSha256().get(index), path);
            if (earlier != null) {
                throw fault(path, "the same token stands at " + earlier + "; needed is another");
            }
        }
    }

    private static void requireAllKnown(String path, List<String> values, Set<String> known) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < values.size(); index++) {
            String elementPath = path + "[" + index + "]";
            requireKnown(elementPath, values.get(index), known);
            if (!seen.add(values.get(index))) {
                throw fault(elementPath, "'" + values.get(index) + "' is not unique");
            }
        }
    }

    private static void requireKnown(String path, String value, Set<String> known) {
        if (!known.contains(value)) {
            throw fault(path, "'" + value + "' is unknown; allowed are " + shown(known));
        }
    }

    private static <T> Set<String> uniqueNames(
            String key, List<T> values, Function<T, String> nameOf) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < values.size(); index++) {
            String name = nameOf.apply(values.get(index));
            if (!names.add(name)) {
                String path = "$." + key + "[" + index + "].name";
                throw fault(path, "'" + name + "' is not unique; needed is another name");
            }
        }
        return names;
    }

    private static String shown(Collection<String> names) {
        String first =
                new TreeSet<>(names).stream().limit(NAMES_SHOWN).collect(Collectors.joining(", "));
        int hidden = Math.max(0, names.size() - NAMES_SHOWN);
        return "[" + first + "]" + (hidden == 0 ? "" : " and " + hidden + " more");
    }

    private static IbisstandException fault(String path, String message) {
        return new IbisstandException(ErrorCode.CONFIGURATION_INVALID, path + ": " + message);
    }
}
