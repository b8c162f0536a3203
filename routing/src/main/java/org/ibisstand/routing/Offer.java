package org.ibisstand.routing;

/**
 * An agent's current predictions for a request. An offer reserves no capacity.
 *
 * @param cachedPieces the leading pieces of the prompt that the engine caches or that other work is
 *     about to compute
 * @param waitMilliseconds the predicted time until the prefill of the request starts
 * @param firstTokenMilliseconds the predicted time to its first token, including the wait
 * @param bytesPerMillisecond the measured prefill rate
 * @param queued the length of the agent's queue
 * @param costOnOthersMilliseconds the predicted delay of waiting work, summed over that work
 */
public record Offer(
        int cachedPieces,
        double waitMilliseconds,
        double firstTokenMilliseconds,
        double bytesPerMillisecond,
        int queued,
        double costOnOthersMilliseconds) {}
