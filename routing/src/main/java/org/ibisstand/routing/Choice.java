package org.ibisstand.routing;

import java.util.Optional;

/**
 * The agent that a request goes to.
 *
 * @param agent the agent to send to
 * @param offer the offer that was taken; empty if the choice was made without one
 */
public record Choice(AgentView agent, Optional<Offer> offer) {}
