package org.ibisstand.gateway;

import org.ibisstand.routing.rates.EngineRates;

/**
 * How fast an engine works.
 *
 * @param tokensPerMillisecond the prefill rate of a typical engine of the service
 * @param factor the time that this engine takes relative to a typical one, as observed
 * @param slowdownPercent the time that work takes at present in percent of the usual one, as the
 *     engine recently reported; 100 if it did not
 */
record EngineSpeed(double tokensPerMillisecond, double factor, int slowdownPercent) {
    private static final int USUAL_PERCENT = 100;

    /** The speed of an engine of which nothing is known. */
    static final EngineSpeed USUAL =
            new EngineSpeed(EngineRates.INITIAL_TOKENS_PER_MILLISECOND, 1, USUAL_PERCENT);

    /**
     * Returns what to multiply predicted times by. The observed factor includes a slowdown that the
     * engine reports, so the two are not multiplied; the one that differs more from the usual
     * counts.
     */
    double timeFactor() {
        double reported = (double) slowdownPercent / USUAL_PERCENT;
        if (slowdownPercent == USUAL_PERCENT) {
            return factor;
        }
        return reported > 1 ? Math.max(reported, factor) : Math.min(reported, factor);
    }
}
