package org.ibisstand.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.random.RandomGenerator;

/**
 * The intervals of elections and heartbeats. Safety rests on none of them.
 *
 * @param electionTimeout the least time without a leader before an election; the actual time is
 *     drawn between once and twice this
 * @param heartbeat the interval between a leader's messages
 */
public record Timing(Duration electionTimeout, Duration heartbeat) {
    /** Returns the longest time without a leader before an election. */
    Duration longestElectionTimeout() {
        return electionTimeout.multipliedBy(2);
    }

    Instant electionDeadline(Instant now, RandomGenerator random) {
        return now.plus(electionTimeout).plusNanos(random.nextLong(electionTimeout.toNanos()));
    }
}
