package org.ibisstand.gateway.limits;

import java.util.Locale;
import java.util.random.RandomGenerator;

/** Whether a request is within the quota of its team. */
public sealed interface QuotaDecision {
    /** The request may run; its units are charged to the team. */
    record Granted() implements QuotaDecision {}

    /**
     * The request is over the quota and must not run.
     *
     * @param retryMilliseconds when the team is expected to be within its quota again
     * @param level the units that the team had left as last known; negative while overdrawn
     * @param ageMilliseconds how long ago that level was received; -1 if none was
     */
    record Refused(long retryMilliseconds, long level, long ageMilliseconds)
            implements QuotaDecision {
        /** A retry after a shorter time would meet the same batch of requests. */
        private static final long MINIMUM_RETRY_MILLISECONDS = 100;

        /** Spreads the retries of callers that were refused together. */
        private static final long MAXIMUM_JITTER_MILLISECONDS = 300;

        /** Two thirds of the remaining time are left for the retry itself. */
        private static final long REMAINING_TIME_DIVISOR = 3;

        private static final double MILLISECONDS_PER_SECOND = 1_000;

        /**
         * Returns the value of the Retry-After header: seconds with three decimals, with jitter of
         * at most the time itself.
         *
         * @param remainingMilliseconds the time until the deadline of the caller
         * @param random the source of the jitter
         */
        public String retryAfter(long remainingMilliseconds, RandomGenerator random) {
            long earliest = Math.max(MINIMUM_RETRY_MILLISECONDS, retryMilliseconds);
            double jitter = Math.min(earliest, MAXIMUM_JITTER_MILLISECONDS) * random.nextDouble();
            double limit = Math.max(0, remainingMilliseconds) / (double) REMAINING_TIME_DIVISOR;
            // Rounding down keeps the limit.
            double milliseconds = Math.floor(Math.min(earliest + jitter, limit));
            return String.format(Locale.ROOT, "%.3f", milliseconds / MILLISECONDS_PER_SECOND);
        }
    }
}
