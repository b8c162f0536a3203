package org.ibisstand.gateway;

import java.time.Duration;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Chooses the value of the Retry-After header; performs no I/O. Jitter keeps callers that were
 * rejected at once from all retrying at once.
 */
final class RetryAfter {
    /** A queue of plain calls drains in less; an earlier retry would meet the same queue. */
    private static final double MINIMUM_DELAY_SECONDS = 0.1;

    /** Spreads the retries of callers that were rejected together. */
    private static final double JITTER_SECONDS = 0.3;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Returns the delay in seconds, with three decimals.
     *
     * @param isServedElsewhere whether another gateway serves at once what this one refuses
     * @param pauseMilliseconds for how long no server of the request's service wants requests
     * @param random the source of the jitter
     */
    static String headerValue(
            boolean isServedElsewhere, long pauseMilliseconds, RandomGenerator random) {
        if (isServedElsewhere) {
            return "0";
        }
        double earliest =
                Math.max(MINIMUM_DELAY_SECONDS, pauseMilliseconds / MILLISECONDS_PER_SECOND);
        double seconds = earliest + JITTER_SECONDS * random.nextDouble();
        return headerValue(seconds);
    }

    /** Returns the value for a delay that has its jitter already. */
    static String headerValue(Duration delay) {
        return headerValue(delay.toMillis() / MILLISECONDS_PER_SECOND);
    }

    private static String headerValue(double seconds) {
        return String.format(Locale.ROOT, "%.3f", seconds);
    }
}
