package org.ibisstand.routing;

import java.time.Duration;

/** How an agent orders, limits and refuses work for its backend server. */
public sealed interface QueuePolicy {
    /**
     * Dispatches work in order of arrival and leaves further ordering to the backend server. The
     * baseline for measurements.
     *
     * @param concurrency the maximum number of requests at the backend server
     */
    record FirstComeFirstServed(int concurrency) implements QueuePolicy {}

    /**
     * Orders work by priority class, then short before long, then by the fair shares of teams.
     *
     * @param concurrency the maximum number of requests at the backend server
     * @param maximumPrefillMilliseconds the limit on dispatched prefill without a first token yet
     * @param longPrefillMilliseconds the prefill above which work counts as long
     * @param longPrefillShare while short work waits, long work is dispatched only if the
     *     dispatched short prefill is below this share of the limit
     * @param ageingInterval the waiting time after which work moves up one priority level
     * @param maximumQueued the maximum queue length
     * @param refuseEarly whether work is refused as soon as it is predicted to miss its deadline
     */
    record PriorityFairQueueing(
            int concurrency,
            double maximumPrefillMilliseconds,
            double longPrefillMilliseconds,
            double longPrefillShare,
            Duration ageingInterval,
            int maximumQueued,
            boolean refuseEarly)
            implements QueuePolicy {
        /**
         * Returns the policy for a model engine.
         *
         * @param concurrency the maximum number of requests that the engine decodes in a batch
         */
        public static PriorityFairQueueing forEngine(int concurrency) {
            return new PriorityFairQueueing(
                    concurrency, 2000, 800, 0.7, Duration.ofSeconds(4), 2048, true);
        }

        /**
         * Returns the policy for a plain service, which limits the concurrency but no prefill.
         *
         * @param concurrency the maximum number of calls that the service handles concurrently
         */
        public static PriorityFairQueueing forService(int concurrency) {
            return new PriorityFairQueueing(
                    concurrency,
                    Double.MAX_VALUE,
                    Double.MAX_VALUE,
                    1,
                    Duration.ofSeconds(1),
                    4096,
                    true);
        }

        /**
         * Returns a copy with early refusal switched on or off.
         *
         * @param refuse whether to refuse work as soon as it is predicted to miss its deadline
         */
        public PriorityFairQueueing withEarlyRefusal(boolean refuse) {
            return new PriorityFairQueueing(
                    concurrency,
                    maximumPrefillMilliseconds,
                    longPrefillMilliseconds,
                    longPrefillShare,
                    ageingInterval,
                    maximumQueued,
                    refuse);
        }

        /**
         * Returns a copy with another threshold between short and long work.
         *
         * @param milliseconds the prefill above which work counts as long
         */
        public PriorityFairQueueing withLongThreshold(double milliseconds) {
            return new PriorityFairQueueing(
                    concurrency,
                    maximumPrefillMilliseconds,
                    milliseconds,
                    longPrefillShare,
                    ageingInterval,
                    maximumQueued,
                    refuseEarly);
        }

        /**
         * Returns a copy with another ageing interval.
         *
         * @param interval the waiting time after which work moves up one priority level
         */
        public PriorityFairQueueing withAgeingInterval(Duration interval) {
            return new PriorityFairQueueing(
                    concurrency,
                    maximumPrefillMilliseconds,
                    longPrefillMilliseconds,
                    longPrefillShare,
                    interval,
                    maximumQueued,
                    refuseEarly);
        }

        /**
         * Returns a copy with another limit on the prefill inside the engine.
         *
         * @param milliseconds the limit on dispatched prefill without a first token yet
         */
        public PriorityFairQueueing withPrefillBound(double milliseconds) {
            return new PriorityFairQueueing(
                    concurrency,
                    milliseconds,
                    longPrefillMilliseconds,
                    longPrefillShare,
                    ageingInterval,
                    maximumQueued,
                    refuseEarly);
        }
    }

    /** Returns the maximum number of requests at the backend server. */
    int concurrency();
}
