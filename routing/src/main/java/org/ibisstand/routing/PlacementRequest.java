package org.ibisstand.routing;

import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.PrefixChain;

/**
 * A request to be placed on an agent.
 *
 * @param group the agents that can serve it
 * @param chain the prefix hashes of the prompt; empty for a plain service
 * @param excluded agents not to use, since they already refused or failed this request
 */
public record PlacementRequest(
        AgentGroup group, Optional<PrefixChain> chain, Set<AgentIdentifier> excluded) {
    /** Copies the set to keep the request immutable. */
    public PlacementRequest {
        excluded = Set.copyOf(excluded);
    }

    boolean isAllowed(AgentView view) {
        return !excluded.contains(view.agent());
    }
}
