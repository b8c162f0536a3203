package org.ibisstand.gateway;

import java.util.Optional;

/**
 * The load that a backend server reported with a response.
 *
 * @param running the number of requests that it processes
 * @param waiting the number of requests in its queue
 * @param slots how many requests it can process at once
 * @param slowdownPercent how long work takes at present, in percent of the normal time
 * @param receivedAtMilliseconds when the report was received, in milliseconds of the clock
 */
record ServerLoad(
        int running, int waiting, int slots, int slowdownPercent, long receivedAtMilliseconds) {
    private static final int NORMAL_SLOWDOWN_PERCENT = 100;
    private static final int REQUIRED_FIELDS = 3;

    /**
     * Parses a header of the fields running, waiting, slots and, optionally, slowdown, separated by
     * commas; returns empty if it is malformed.
     */
    static Optional<ServerLoad> parse(String text, long nowMilliseconds) {
        String[] fields = text.split(",", -1);
        if (fields.length < REQUIRED_FIELDS) {
            return Optional.empty();
        }
        try {
            int slowdown =
                    fields.length > REQUIRED_FIELDS
                            ? Integer.parseInt(fields[REQUIRED_FIELDS].strip())
                            : NORMAL_SLOWDOWN_PERCENT;
            return Optional.of(
                    new ServerLoad(
                            Integer.parseInt(fields[0].strip()),
                            Integer.parseInt(fields[1].strip()),
                            Math.max(1, Integer.parseInt(fields[2].strip())),
                            Math.max(1, slowdown),
                            nowMilliseconds));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
