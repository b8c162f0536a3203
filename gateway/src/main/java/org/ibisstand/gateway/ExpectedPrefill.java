package org.ibisstand.gateway;

import org.ibisstand.gateway.EngineCost.EngineState;
import org.ibisstand.gateway.EngineCost.PromptSize;

/**
 * Decides whether the time to the first event will show how fast an engine computes, and for how
 * many tokens.
 */
final class ExpectedPrefill {
    /** A prefix of unknown state that is longer could more than halve the observed rate. */
    private static final double MAXIMUM_UNKNOWN_SHARE = 0.5;

    private ExpectedPrefill() {}

    /**
     * Returns the tokens that an engine computes before the first event; zero if the time until
     * then would include more than that: a queue, or a transfer of KV cache. Where the engine may
     * have cached a short prefix, its tokens are left out, as a rate that is too high would be kept
     * as the upper quantile.
     *
     * @param promptSize the size of the prompt
     * @param engine the chosen engine
     * @param isCacheKnown whether its agent just reported what it has cached
     * @param canFetch whether the engine is told where to fetch a missing prefix
     */
    static int tokens(
            PromptSize promptSize, EngineState engine, boolean isCacheKnown, boolean canFetch) {
        int missingTokens = Math.max(0, promptSize.prefixTokens() - engine.cachedTokens());
        boolean isQueued = engine.pendingTokens() > 0 || engine.waiting() > 0;
        if (isQueued || (canFetch && missingTokens > 0)) {
            return 0;
        }
        if (isCacheKnown) {
            return promptSize.suffixTokens() + missingTokens;
        }
        boolean isMostlyKnown =
                promptSize.prefixTokens() <= promptSize.suffixTokens() * MAXIMUM_UNKNOWN_SHARE;
        return isMostlyKnown ? promptSize.suffixTokens() : 0;
    }
}
