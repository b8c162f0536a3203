package org.ibisstand.routing;

import java.time.Duration;

/**
 * A way to choose the agent for a request; all but {@link CheapestOffer} are baselines to compare
 * with.
 */
public sealed interface PlacementPolicy {
    /**
     * Asks a few agents that may hold the prompt and takes the cheapest offer; requests without a
     * whole piece of prompt are placed like {@link PowerOfTwoChoices}.
     *
     * @param firstCandidates how many agents are asked at first about a prompt of which at least
     *     half was placed lately
     * @param allCandidates how many agents are asked at most: at once about any other prompt, as a
     *     second question when the first offers are all dear
     * @param recomputeWeight how often a millisecond of recomputation counts, at least one
     * @param offerTimeout how long offers are waited for
     */
    record CheapestOffer(
            int firstCandidates, int allCandidates, double recomputeWeight, Duration offerTimeout)
            implements PlacementPolicy {}

    /** Takes the agents in turn. */
    record RoundRobin() implements PlacementPolicy {}

    /** Takes the agent with the fewest requests of this entry in progress. */
    record LeastOutstanding() implements PlacementPolicy {}

    /** Takes the less loaded of two random agents. */
    record PowerOfTwoChoices() implements PlacementPolicy {}

    /** Takes the first rank for the deepest prefix that other prompts share. */
    record PrefixHash() implements PlacementPolicy {}

    /** Takes the less loaded of the first two ranks for the deepest shared prefix. */
    record LessLoadedOfTopTwo() implements PlacementPolicy {}

    /** Returns the policy that entries use. */
    static PlacementPolicy standard() {
        return new CheapestOffer(4, 6, 2.0, Duration.ofMillis(5));
    }
}
