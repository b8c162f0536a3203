package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * The instant after which an answer is worth nothing, handed down from hop to hop as time left.
 *
 * @param at the instant by the clock of this process
 */
public record Deadline(Instant at) {
    /**
     * Returns the deadline of a request that just arrived.
     *
     * @param timeLeft what the caller or the hop before left
     * @param now the present
     */
    public static Deadline in(Duration timeLeft, Instant now) {
        return new Deadline(now.plus(timeLeft));
    }

    /**
     * Returns the time left, never negative.
     *
     * @param now the present
     */
    public Duration timeLeft(Instant now) {
        return now.isBefore(at) ? Duration.between(now, at) : Duration.ZERO;
    }

    /**
     * Returns the time left to the next hop, never negative.
     *
     * @param now the present
     * @param transit the time that the request and its answer spend between the hops
     */
    public Duration handDown(Instant now, Duration transit) {
        Duration left = timeLeft(now).minus(transit);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /**
     * Returns whether no time is left.
     *
     * @param now the present
     */
    public boolean isOver(Instant now) {
        return !now.isBefore(at);
    }
}
