package org.ibisstand.control;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads the timestamp of an idempotency key that is a version 7 UUID. */
final class UuidTimestamp {
    private static final int TIME_HIGH_END = 8;
    private static final int TIME_LOW_START = 9;
    private static final int TIME_LOW_END = 13;
    private static final int HEXADECIMAL = 16;
    private static final Pattern UUID_VERSION_7 =
            Pattern.compile(
                    "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}"
                            + "-[0-9a-fA-F]{12}");

    private UuidTimestamp() {}

    /**
     * Returns the milliseconds since the Unix epoch in the first 48 bits of a version 7 UUID; empty
     * for any other key.
     */
    static OptionalLong parseMilliseconds(String key) {
        if (!UUID_VERSION_7.matcher(key).matches()) {
            return OptionalLong.empty();
        }
        String digits =
                key.substring(0, TIME_HIGH_END) + key.substring(TIME_LOW_START, TIME_LOW_END);
        return OptionalLong.of(Long.parseLong(digits, HEXADECIMAL));
    }
}
