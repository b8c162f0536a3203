package org.ibisstand.routing;

import org.ibisstand.base.PrefixChain;

/**
 * Weighs offers for one prompt: the predicted time to first token, the recomputation beyond its
 * first count, and the delay put on others, all in milliseconds.
 *
 * @param promptBytes the length of the prompt
 * @param pieceBytes the bytes in a piece
 * @param recomputeWeight how often a millisecond of recomputation counts, at least one
 */
record OfferCost(int promptBytes, int pieceBytes, double recomputeWeight) {
    /** Returns the weights for one prompt. */
    static OfferCost of(PrefixChain chain, double recomputeWeight) {
        return new OfferCost(chain.promptBytes(), chain.pieceBytes(), recomputeWeight);
    }

    /**
     * Returns the cost of an offer; infinite if its numbers cannot be true, so that it is taken
     * only where there is no other.
     *
     * @param offer what the agent predicts
     * @param slowness how many times longer than predicted the agent takes, at least one
     */
    double of(Offer offer, double slowness) {
        if (!isSound(offer)) {
            return Double.POSITIVE_INFINITY;
        }
        double ownTime = offer.firstTokenMilliseconds() * slowness;
        double recomputed = recomputeMilliseconds(offer) * slowness;
        return ownTime
                + (recomputeWeight - 1) * recomputed
                + offer.costOnOthersMilliseconds() * slowness;
    }

    /**
     * Returns whether an idle agent of the same rate that holds nothing would be cheaper, so that
     * it pays to ask further agents.
     *
     * @param offer the best offer so far
     * @param slowness how many times longer than predicted the agent takes, at least one
     */
    boolean isDear(Offer offer, double slowness) {
        double whole = promptBytes / offer.bytesPerMillisecond();
        return of(offer, slowness) > recomputeWeight * whole;
    }

    private static boolean isSound(Offer offer) {
        return isAmount(offer.waitMilliseconds())
                && isAmount(offer.firstTokenMilliseconds())
                && isAmount(offer.costOnOthersMilliseconds())
                && isAmount(offer.bytesPerMillisecond())
                && offer.bytesPerMillisecond() > 0;
    }

    private static boolean isAmount(double value) {
        return value >= 0 && value < Double.POSITIVE_INFINITY;
    }

    private double recomputeMilliseconds(Offer offer) {
        long held = (long) offer.heldPieces() * pieceBytes;
        return Math.max(0, promptBytes - held) / offer.bytesPerMillisecond();
    }
}
