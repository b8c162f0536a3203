package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;

/**
 * The time after which a response is no longer useful. A process sends only the time left to the
 * next hop.
 *
 * @param at the deadline by the clock of this process
 */
public record Deadline(Instant at) {
    /**
     * Returns the deadline of a request that has just arrived.
     *
     * @param timeLeft the time left as sent by the caller or the previous hop
     * @param now the current time
     */
    public static Deadline in(Duration timeLeft, Instant now) {
        return new Deadline(now.plus(timeLeft));
    }

    /**
     * Returns the time left; never negative.
     *
     * @param now the current time
     */
    public Duration timeLeft(Instant now) {
        return now.isBefore(at) ? Duration.between(now, at) : Duration.ZERO;
    }

    /**
     * Returns the time left to send to the next hop; never negative.
     *
     * @param now the current time
     * @param transit the network time of the request and its response between the hops
     */
    public Duration timeLeftForNextHop(Instant now, Duration transit) {
        Duration left = timeLeft(now).minus(transit);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @param now the current time
     */
    public boolean hasPassed(Instant now) {
        return !now.isBefore(at);
    }
}
