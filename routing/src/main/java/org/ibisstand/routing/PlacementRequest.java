package org.ibisstand.routing;

import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/**
 * One request that needs an agent.
 *
 * @param group the agents that can serve it
 * @param chain the hashes of the prompt; empty for a plain service
 * @param excluded agents that already refused or failed this request
 */
public record PlacementRequest(
        AgentGroup group, Optional<PrefixChain> chain, Set<AgentIdentifier> excluded) {
    /** Copies the set, so that a request never changes. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }

    boolean allows(AgentView view) {
        return !excluded.contains(view.agent());
    }
}
