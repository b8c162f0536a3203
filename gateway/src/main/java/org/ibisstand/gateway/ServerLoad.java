package org.ibisstand.gateway;

import java.util.Optional;

/**
 * What a backend server said of its load with an answer.
 *
 * @param running requests that it works on
 * @param waiting requests in its queue
 * @param slots how many it works on at once
 * @param pacePercent how long work takes there now; 100 is usual
 * @param atMilliseconds when it was received
 */
record ServerLoad(int running, int waiting, int slots, int pacePercent, long atMilliseconds) {
    private static final int USUAL_PACE = 100;
    private static final int FIELDS = 3;

    /** Reads a header of running, waiting, slots and perhaps pace; empty if it cannot be read. */
    static Optional<ServerLoad> parse(String text, long nowMilliseconds) {
        String[] fields = text.split(",", -1);
        if (fields.length < FIELDS) {
            return Optional.empty();
        }
        try {
            int pace =
                    fields.length > FIELDS ? Integer.parseInt(fields[FIELDS].strip()) : USUAL_PACE;
            return Optional.of(
                    new ServerLoad(
                            Integer.parseInt(fields[0].strip()),
                            Integer.parseInt(fields[1].strip()),
                            Math.max(1, Integer.parseInt(fields[2].strip())),
                            Math.max(1, pace),
                            nowMilliseconds));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
