package org.ibisstand.routing;

import java.time.Duration;
import java.util.List;

/** What an entry does next to place a request. */
public sealed interface PlacementStep {
    /**
     * Ask these agents for offers at once.
     *
     * @param agents whom to ask
     * @param offerTimeout how long to wait before the round is told that its patience is over
     */
    record RequestOffers(List<AgentView> agents, Duration offerTimeout) implements PlacementStep {
        /** Copies the list, so that a step never changes. */
        public RequestOffers {
            agents = List.copyOf(agents);
        }
    }

    /** Wait for the next offer or for the end of the patience. */
    record Wait() implements PlacementStep {}

    /**
     * Send the request; the round is over.
     *
     * @param choice where to
     */
    record Send(Choice choice) implements PlacementStep {}

    /** Refuse the request as not run, since no agent is left that could serve it. */
    record Reject() implements PlacementStep {}
}
