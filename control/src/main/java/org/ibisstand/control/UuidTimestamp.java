package org.ibisstand.control;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads the time that a time-ordered idempotency key carries. */
final class KeyTime {
    private static final int TIME_HIGH_END = 8;
    private static final int TIME_LOW_START = 9;
    private static final int TIME_LOW_END = 13;
    private static final int HEXADECIMAL = 16;
    private static final Pattern UUID_VERSION_7 =
            Pattern.compile(
                    "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}"
                            + "-[0-9a-fA-F]{12}");

    private KeyTime() {}

    /**
     * Returns the milliseconds since the epoch that a UUID of version 7 begins with; empty for any
     * other key.
     */
    static OptionalLong milliseconds(String key) {
        if (!UUID_VERSION_7.matcher(key).matches()) {
            return OptionalLong.empty();
        }
        String time = key.substring(0, TIME_HIGH_END) + key.substring(TIME_LOW_START, TIME_LOW_END);
        return OptionalLong.of(Long.parseLong(time, HEXADECIMAL));
    }
}
