package org.ibisstand.base;

import java.util.Set;
import java.util.regex.Pattern;

/** The rules for the status line of an HTTP response. */
public final class StatusLine {
    private static final Set<String> VERSIONS = Set.of("HTTP/1.0", "HTTP/1.1");

    /** Includes interim responses (1xx), which are no final ones. */
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    private StatusLine() {}

    /**
     * Checks the text of a status line.
     *
     * @param version the protocol and its version as received
     * @param status the status as received
     * @throws IllegalArgumentException if either is not valid
     */
    public static void check(String version, String status) {
        if (!VERSIONS.contains(version)) {
            throw new IllegalArgumentException("unsupported HTTP version: " + version);
        }
        if (!STATUS.matcher(status).matches()) {
            throw new IllegalArgumentException("malformed HTTP status: " + status);
        }
    }
}
