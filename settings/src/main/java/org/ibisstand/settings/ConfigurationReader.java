package org.ibisstand.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads configurations and refuses those that contradict themselves. */
public final class ConfigurationReader {
    private final JsonReader mJson;

    private ConfigurationReader(JsonReader json) {
        mJson = json;
    }

    /** Returns a reader that checks what it reads. */
    public static ConfigurationReader create() {
        return new ConfigurationReader(JsonReader.create());
    }

    /**
     * Reads and checks a configuration.
     *
     * @param json the text, as UTF-8
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public Configuration read(byte[] json) {
        Configuration configuration =
                mJson.read(json, Configuration.class, ErrorCode.CONFIGURATION_INVALID);
        check(configuration);
        return configuration;
    }

    /**
     * Writes a configuration in the form that {@link #read} accepts.
     *
     * @param configuration what to write
     */
    public byte[] write(Configuration configuration) {
        return mJson.write(configuration);
    }

    /**
     * Checks a configuration as a whole.
     *
     * @param configuration what to check
     * @throws IbisstandException with CONFIGURATION_INVALID and the path of the first fault
     */
    public void check(Configuration configuration) {
        requireUnique("teams", configuration.teams(), Team::name);
        requireUnique("models", configuration.models(), Model::name);
        requireUnique("services", configuration.services(), Service::name);
        requireUnique("priority_classes", configuration.priorityClasses(), PriorityClass::name);
        for (Model model : configuration.models()) {
            requireClass(configuration, "models." + model.name(), model.priorityClass());
        }
        for (Service service : configuration.services()) {
            requireClass(configuration, "services." + service.name(), service.priorityClass());
        }
    }

    private static <T> void requireUnique(String path, List<T> values, Function<T, String> nameOf) {
        Set<String> names = new HashSet<>();
        for (int index = 0; index < values.size(); index++) {
            String name = nameOf.apply(values.get(index));
            if (!names.add(name)) {
                throw invalid("$." + path + "[" + index + "].name", "'" + name + "' is not unique");
            }
        }
    }

    private static void requireClass(Configuration configuration, String path, String name) {
        if (configuration.priorityClass(name).isEmpty()) {
            List<String> known =
                    configuration.priorityClasses().stream().map(PriorityClass::name).toList();
            throw invalid(
                    "$." + path + ".priority_class",
                    "'" + name + "' is unknown; allowed are " + known);
        }
    }

    private static IbisstandException invalid(String path, String message) {
        return new IbisstandException(ErrorCode.CONFIGURATION_INVALID, path + ": " + message);
    }
}
