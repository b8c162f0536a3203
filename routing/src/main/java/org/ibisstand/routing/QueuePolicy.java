package org.ibisstand.routing;

import java.time.Duration;

/** How an agent orders, bounds and refuses work for its backend server. */
public sealed interface QueuePolicy {
    /**
     * Sends everything at once and leaves order to the backend server; the naive baseline.
     *
     * @param concurrency the most work at the backend server at once
     */
    record FirstComeFirstServed(int concurrency) implements QueuePolicy {}

    /**
     * Orders by class, then short before long, then by the fair shares of teams.
     *
     * @param concurrency the most work at the backend server at once
     * @param prefillMilliseconds the most prefill inside the engine that has no first token yet
     * @param longMilliseconds prefill from which work counts as long
     * @param longShare the part of the prefill bound that long work may fill while short work waits
     * @param ageing the wait after which work moves up by one class
     * @param maximumQueued the most work that may wait
     * @param refuseEarly whether work is refused as soon as it is predicted to miss its deadline
     */
    record PriorityFairQueueing(
            int concurrency,
            double prefillMilliseconds,
            double longMilliseconds,
            double longShare,
            Duration ageing,
            int maximumQueued,
            boolean refuseEarly)
            implements QueuePolicy {
        /**
         * Returns the policy for a model engine.
         *
         * @param concurrency the most requests that the engine decodes at once
         */
        public static PriorityFairQueueing forEngine(int concurrency) {
            return new PriorityFairQueueing(
                    concurrency, 2000, 800, 0.7, Duration.ofSeconds(4), 2048, true);
        }

        /**
         * Returns the policy for a plain service, where only concurrency is bounded.
         *
         * @param concurrency the most calls that the service works on at once
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
         * Returns the same policy with or without early refusals.
         *
         * @param refuses whether work is refused as soon as it is predicted to be late
         */
        public PriorityFairQueueing withEarlyRefusal(boolean refuses) {
            return new PriorityFairQueueing(
                    concurrency,
                    prefillMilliseconds,
                    longMilliseconds,
                    longShare,
                    ageing,
                    maximumQueued,
                    refuses);
        }

        /**
         * Returns the same policy with another bound between short and long work.
         *
         * @param milliseconds prefill from which work counts as long
         */
        public PriorityFairQueueing withLongThreshold(double milliseconds) {
            return new PriorityFairQueueing(
                    concurrency,
                    prefillMilliseconds,
                    milliseconds,
                    longShare,
                    ageing,
                    maximumQueued,
                    refuseEarly);
        }

        /**
         * Returns the same policy with another time after which waiting work moves up.
         *
         * @param wait the wait after which work moves up by one class
         */
        public PriorityFairQueueing withAgeingInterval(Duration wait) {
            return new PriorityFairQueueing(
                    concurrency,
                    prefillMilliseconds,
                    longMilliseconds,
                    longShare,
                    wait,
                    maximumQueued,
                    refuseEarly);
        }

        /**
         * Returns the same policy with another bound on the prefill inside the engine.
         *
         * @param milliseconds the most prefill that has no first token yet
         */
        public PriorityFairQueueing withPrefillBound(double milliseconds) {
            return new PriorityFairQueueing(
                    concurrency,
                    milliseconds,
                    longMilliseconds,
                    longShare,
                    ageing,
                    maximumQueued,
                    refuseEarly);
        }
    }

    /** Returns the most work that may be at the backend server at once. */
    int concurrency();
}
