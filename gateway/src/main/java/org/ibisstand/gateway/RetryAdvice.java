package org.ibisstand.gateway;

import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Tells refused callers when to come back; a decision without input or output. It answers the
 * pattern of many callers that are refused at once and would all return together.
 */
final class RetryAdvice {
    /** A queue of plain calls empties in less; a sooner return meets the same queue. */
    private static final double SHORTEST_SECONDS = 0.1;

    /** Spreads the callers that were refused together. */
    private static final double SPREAD_SECONDS = 0.3;

    private RetryAdvice() {}

    /** Returns the value of the header, in seconds with fractions. */
    static String seconds(RandomGenerator random) {
        double seconds = SHORTEST_SECONDS + SPREAD_SECONDS * random.nextDouble();
        return String.format(Locale.ROOT, "%.3f", seconds);
    }
}
