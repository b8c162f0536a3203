package org.ibisstand.routing;

import org.ibisstand.base.BootIdentifier;

/**
 * Says when an agent could serve one request. All times are predictions in milliseconds.
 *
 * @param hold the number of the place that is kept for a moment; zero if none is
 * @param heldPieces the pieces of the prompt that the engine's cache holds, from the first on
 * @param waitMilliseconds the time until the request would start
 * @param firstTokenMilliseconds the time to first token: the wait, the prefill of what is not held
 *     and the first step
 * @param bytesPerMillisecond the measured prefill rate
 * @param queued the requests that wait or run
 * @param costOnOthersMilliseconds the delay that the request would put on the others
 * @param boot the run of the agent that answers
 */
public record OfferAnswer(
        long hold,
        int heldPieces,
        double waitMilliseconds,
        double firstTokenMilliseconds,
        double bytesPerMillisecond,
        int queued,
        double costOnOthersMilliseconds,
        BootIdentifier boot) {}
