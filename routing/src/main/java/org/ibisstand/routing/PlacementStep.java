package org.ibisstand.routing;

import java.time.Duration;
import java.util.List;

/** The next action of an entry that places a request. */
public sealed interface PlacementStep {
    /**
     * Ask all of these agents for offers, in parallel.
     *
     * @param agents the agents to ask
     * @param offerTimeout the time after which {@link PlacementRound#onOfferTimeout} must be called
     */
    record RequestOffers(List<AgentView> agents, Duration offerTimeout) implements PlacementStep {
        /** Copies the list to keep the step immutable. */
        public RequestOffers {
            agents = List.copyOf(agents);
        }
    }

    /** Wait for the next offer or the offer timeout; nothing to do now. */
    record Wait() implements PlacementStep {}

    /**
     * Send the request to an agent; the placement is finished.
     *
     * @param choice the chosen agent
     */
    record Send(Choice choice) implements PlacementStep {}

    /** Refuse the request as not run, since no agent that could serve it is left. */
    record Refuse() implements PlacementStep {}
}
