package org.ibisstand.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads the settings of processes, adds defaults, and refuses what is not allowed. */
public final class SettingsReader {
    private final JsonReader mJson;
    private final RecordChecker mChecker;

    private SettingsReader(JsonReader json, RecordChecker checker) {
        mJson = json;
        mChecker = checker;
    }

    /** Returns a reader that checks what it reads. */
    public static SettingsReader create() {
        return new SettingsReader(
                JsonReader.create(), RecordChecker.reporting(ErrorCode.SETTINGS_INVALID));
    }

    /**
     * Reads the settings of an entry.
     *
     * @param json the text, as UTF-8
     * @throws IbisstandException with SETTINGS_INVALID and the path of the first fault
     */
    public EntrySettings readEntry(byte[] json) {
        return read(json, "entry-defaults.json", EntrySettings.class);
    }

    /**
     * Reads the settings of an agent.
     *
     * @param json the text, as UTF-8
     * @throws IbisstandException with SETTINGS_INVALID and the path of the first fault
     */
    public AgentSettings readAgent(byte[] json) {
        return read(json, "agent-defaults.json", AgentSettings.class);
    }

    /**
     * Reads the settings of a control member.
     *
     * @param json the text, as UTF-8
     * @throws IbisstandException with SETTINGS_INVALID and the path of the first fault
     */
    public ControlSettings readControl(byte[] json) {
        ControlSettings settings = read(json, "control-defaults.json", ControlSettings.class);
        boolean named = settings.addressOf(settings.member()).isPresent();
        if (!named && !settings.join()) {
            throw invalid("$.members: must name this member '" + settings.member() + "'");
        }
        ControlSettings.Timing timing = settings.timing();
        if (timing.heartbeatMilliseconds() * 2 > timing.electionTimeoutMilliseconds()) {
            throw invalid(
                    "$.timing.heartbeat_milliseconds: allowed is at most half of"
                            + " election_timeout_milliseconds");
        }
        return settings;
    }

    /**
     * Reads a settings file whole.
     *
     * @param file the path of the file
     * @throws IbisstandException with SETTINGS_INVALID if the file cannot be read
     */
    public static byte[] readFile(Path file) {
        try {
            return Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IbisstandException(
                    ErrorCode.SETTINGS_INVALID, "cannot read the file " + file, e);
        }
    }

    private <T extends Record> T read(byte[] json, String defaults, Class<T> type) {
        T settings = mJson.read(json, resource(defaults), type, ErrorCode.SETTINGS_INVALID);
        mChecker.check(settings);
        return settings;
    }

    private static byte[] resource(String name) {
        try (InputStream stream = SettingsReader.class.getResourceAsStream(name)) {
            return stream.readAllBytes();
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot read defaults " + name, e);
        }
    }

    private static IbisstandException invalid(String message) {
        return new IbisstandException(ErrorCode.SETTINGS_INVALID, message);
    }
}
