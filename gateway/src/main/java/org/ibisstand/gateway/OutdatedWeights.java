package org.ibisstand.gateway;

/**
 * Decides which runs should begin on weights that newer ones have replaced. Pure computation,
 * performs no I/O.
 *
 * <p>Designed for a load of new weights at all engines of a busy service. A long run that begins on
 * the older ones has to move before its engine loads, or is reset, while short runs use the
 * capacity of the engines that wait for their load.
 */
final class OutdatedWeights {
    /** Fewer tokens take less time than an engine waits for its runs before it loads weights. */
    private static final int LONG_RUN_OUTPUT_TOKENS = 150;

    private OutdatedWeights() {}

    /**
     * Returns whether a run is likely to finish at an engine before the engine loads weights.
     *
     * @param maximumOutputTokens the most tokens that the response may have
     * @param isOutdated whether newer weights were ordered than the engine has
     */
    static boolean canFinish(int maximumOutputTokens, boolean isOutdated) {
        return !isOutdated || maximumOutputTokens < LONG_RUN_OUTPUT_TOKENS;
    }
}
