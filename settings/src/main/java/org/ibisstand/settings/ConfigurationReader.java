package org.ibisstand.settings;

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
        ConfigurationChecker.check(configuration);
    }
}
