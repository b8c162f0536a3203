package org.ibisstand.routing.overload;

/**
 * The rate at which waiting requests of one service go to engines. Only time in which requests wait
 * counts, so that the rate is that of engines under load.
 */
final class DrainRate {
    /** Two reports of engines, which come every second: the rate follows changes of their load. */
    private static final double MEMORY_MILLISECONDS = 2_000;

    /** Before the first measurement, one request at each poll of the queue, over ten polls. */
    private static final double INITIAL_REQUESTS = 10;

    private static final double INITIAL_MILLISECONDS = 200;

    private double mRequests = INITIAL_REQUESTS;
    private double mMilliseconds = INITIAL_MILLISECONDS;

    /** Counts time in which at least one request waited. */
    void recordWaiting(long milliseconds) {
        double decay = Math.exp(-milliseconds / MEMORY_MILLISECONDS);
        mRequests *= decay;
        mMilliseconds = mMilliseconds * decay + MEMORY_MILLISECONDS * (1 - decay);
    }

    /** Counts a request that went to an engine while requests waited. */
    void recordRun() {
        mRequests++;
    }

    /** Returns the expected time until a number of requests have gone to engines. */
    double drainMilliseconds(int requests) {
        return requests == 0 ? 0 : requests * mMilliseconds / mRequests;
    }
}
