package org.ibisstand.routing.rates;

/**
 * A prompt that an engine computed without another one in its queue.
 *
 * @param engine the name of the engine
 * @param tokens the tokens that the engine computed: those neither cached nor fetched
 * @param milliseconds the time from sending the request to its first event
 * @param running the requests that the engine ran meanwhile
 */
public record Prefill(String engine, int tokens, double milliseconds, int running) {
    /** Delay that one running request causes to others: a share of a decode step. */
    public static final double MILLISECONDS_PER_RUNNING_REQUEST = 0.5;

    /**
     * Bounds the correction for running requests, which is approximate. If it took up most of the
     * time, the remainder would show any rate.
     */
    private static final double MAXIMUM_RUNNING_SHARE = 0.25;

    private static final double CLOCK_RESOLUTION_MILLISECONDS = 1;

    double tokensPerMillisecond() {
        double time = Math.max(CLOCK_RESOLUTION_MILLISECONDS, milliseconds);
        double runningTime =
                Math.min(running * MILLISECONDS_PER_RUNNING_REQUEST, time * MAXIMUM_RUNNING_SHARE);
        return tokens / (time - runningTime);
    }

    /** Returns the time relative to that of an engine with the given rate. */
    double timeFactor(double tokensPerMillisecond) {
        double expected =
                tokens / tokensPerMillisecond + running * MILLISECONDS_PER_RUNNING_REQUEST;
        return milliseconds / expected;
    }
}
