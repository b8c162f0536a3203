package org.ibisstand.routing;

import org.ibisstand.base.PrefixChain;

/**
 * The cost of offers for one prompt, in milliseconds: the predicted time to first token, the
 * weighted recomputation, and the delay of other work.
 *
 * <p>The time to first token already includes the recomputation once, so only the weight above one
 * is added to it.
 *
 * @param promptBytes the length of the prompt
 * @param pieceBytes the length of a piece
 * @param recomputeWeight the weight of a millisecond of recomputation; at least one
 */
record OfferCost(int promptBytes, int pieceBytes, double recomputeWeight) {
    /** Returns the cost function for one prompt. */
    static OfferCost of(PrefixChain chain, double recomputeWeight) {
        return new OfferCost(chain.promptBytes(), chain.pieceBytes(), recomputeWeight);
    }

    /**
     * Returns the cost of an offer. An offer with impossible numbers costs infinitely much, so that
     * it is taken only if there is no other.
     *
     * @param offer the agent's predictions
     * @param slowness the ratio of observed to predicted time of the agent; at least one
     */
    double totalMilliseconds(Offer offer, double slowness) {
        if (!isPlausible(offer)) {
            return Double.POSITIVE_INFINITY;
        }
        double firstTokenMilliseconds = offer.firstTokenMilliseconds() * slowness;
        double recomputeMilliseconds = recomputeMilliseconds(offer) * slowness;
        return firstTokenMilliseconds
                + (recomputeWeight - 1) * recomputeMilliseconds
                + offer.costOnOthersMilliseconds() * slowness;
    }

    /**
     * Returns whether an idle agent with the same prefill rate and an empty cache would cost less,
     * so that asking more agents is worthwhile.
     *
     * @param offer the best offer so far
     * @param slowness the ratio of observed to predicted time of the agent; at least one
     */
    boolean isExpensive(Offer offer, double slowness) {
        double fullPrefillMilliseconds = promptBytes / offer.bytesPerMillisecond();
        return totalMilliseconds(offer, slowness) > recomputeWeight * fullPrefillMilliseconds;
    }

    private static boolean isPlausible(Offer offer) {
        return isFiniteNonNegative(offer.waitMilliseconds())
                && isFiniteNonNegative(offer.firstTokenMilliseconds())
                && isFiniteNonNegative(offer.costOnOthersMilliseconds())
                && isFiniteNonNegative(offer.bytesPerMillisecond())
                && offer.bytesPerMillisecond() > 0;
    }

    private static boolean isFiniteNonNegative(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }

    private double recomputeMilliseconds(Offer offer) {
        long cachedBytes = (long) offer.cachedPieces() * pieceBytes;
        return Math.max(0, promptBytes - cachedBytes) / offer.bytesPerMillisecond();
    }
}
