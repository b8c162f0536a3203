package org.ibisstand.routing;

import java.time.Duration;

/**
 * How the agent for a request is chosen. Entries use {@link CheapestOffer}; the other policies are
 * baselines for measurements.
 */
public sealed interface PlacementPolicy {
    /**
     * Asks a few agents that probably cache the prompt and takes the cheapest offer. Requests whose
     * prompt is shorter than one piece are placed as by {@link PowerOfTwoChoices}.
     *
     * @param initialCandidates how many agents are asked first, if at least half of the prompt was
     *     placed recently
     * @param maximumCandidates how many agents are asked in total: all at once if less than half of
     *     the prompt was placed recently, else in a second round if no offer of the first is cheap
     * @param recomputeWeight the weight of a millisecond of recomputation in the cost of an offer;
     *     at least one
     * @param offerTimeout the time to wait for offers
     */
    record CheapestOffer(
            int initialCandidates,
            int maximumCandidates,
            double recomputeWeight,
            Duration offerTimeout)
            implements PlacementPolicy {}

    /** Cycles through the agents. */
    record RoundRobin() implements PlacementPolicy {}

    /** Takes the agent with the fewest outstanding requests of this entry. */
    record LeastOutstanding() implements PlacementPolicy {}

    /** Takes the less loaded of two random agents. */
    record PowerOfTwoChoices() implements PlacementPolicy {}

    /**
     * Takes the first agent by rendezvous hashing of the longest prefix shared with earlier
     * prompts.
     */
    record PrefixHash() implements PlacementPolicy {}

    /**
     * Takes the less loaded of the first two agents by rendezvous hashing of the longest shared
     * prefix.
     */
    record LessLoadedOfTopTwo() implements PlacementPolicy {}

    /** Returns the default policy of an entry. */
    static PlacementPolicy standard() {
        return new CheapestOffer(4, 6, 2.0, Duration.ofMillis(5));
    }
}
