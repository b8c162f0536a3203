package org.ibisstand.gateway;

import java.util.OptionalLong;

/**
 * Decides which requests a stopping gateway still sends to backend servers; performs no I/O.
 *
 * <p>When the stop time ends, the gateway cannot wait for responses any longer, and the caller of a
 * request that may run only once then cannot know whether it ran. A request that is refused before
 * it runs is served at once by another gateway.
 */
final class StopPolicy {
    /** Requests vary: one may take half as long again as the longest one of late. */
    private static final double DURATION_MARGIN = 1.5;

    private StopPolicy() {}

    /**
     * Returns whether a request will end before the gateway stops.
     *
     * @param allowedMilliseconds the time until the request times out
     * @param longestOfLate the longest duration of such requests; empty if none is known
     * @param untilStopMilliseconds the time until the gateway stops
     */
    static boolean endsInTime(
            long allowedMilliseconds, OptionalLong longestOfLate, long untilStopMilliseconds) {
        long expected =
                longestOfLate.isPresent()
                        ? Math.round(longestOfLate.getAsLong() * DURATION_MARGIN)
                        : Long.MAX_VALUE;
        return Math.min(allowedMilliseconds, expected) <= untilStopMilliseconds;
    }
}
