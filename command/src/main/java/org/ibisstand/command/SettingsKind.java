package org.ibisstand.command;

import java.util.Arrays;
import java.util.Locale;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** The kinds of files that operators write. */
enum SettingsKind {
    ENTRY,
    AGENT,
    CONTROL,
    CONFIGURATION;

    static SettingsKind parse(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.label().equals(text))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.USAGE,
                                        "unknown kind '"
                                                + text
                                                + "'; allowed are entry, agent, control,"
                                                + " configuration"));
    }

    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
