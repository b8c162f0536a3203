package org.ibisstand.routing;

/**
 * What an agent predicts for a request at one moment; it holds no place.
 *
 * @param heldPieces the leading pieces of the prompt that the engine has or is computing
 * @param waitMilliseconds the predicted time until the request's own prefill starts
 * @param firstTokenMilliseconds the predicted time to its first token, wait included
 * @param bytesPerMillisecond the measured speed of prefill
 * @param queued how much work waits in the agent's queue
 * @param costOnOthersMilliseconds the sum of the delays that waiting work would suffer
 */
public record Offer(
        int heldPieces,
        double waitMilliseconds,
        double firstTokenMilliseconds,
        double bytesPerMillisecond,
        int queued,
        double costOnOthersMilliseconds) {}
