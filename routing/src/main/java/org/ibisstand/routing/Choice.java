package org.ibisstand.routing;

import java.util.Optional;

/**
 * The agent chosen for a request.
 *
 * @param agent the agent to send the request to
 * @param offer the offer that was taken; empty if the agent was chosen without one
 */
public record Choice(AgentView agent, Optional<Offer> offer) {}
