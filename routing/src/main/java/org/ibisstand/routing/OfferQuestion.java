package org.ibisstand.routing;

import java.time.Duration;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;

/**
 * Asks an agent when it could serve one request.
 *
 * @param model the model's name; empty for a plain service
 * @param weightsVersion the weights that must answer; empty for a plain service
 * @param service the plain service's name; empty for a model
 * @param team the team that asks
 * @param priority the rank of the priority class; a lower rank goes first
 * @param chain the hashes of the prompt, if it has any
 * @param hold how long the agent keeps the place for the one that asks
 * @param timeLeft how long an answer is worth something
 */
public record OfferQuestion(
        String model,
        String weightsVersion,
        String service,
        String team,
        int priority,
        Optional<PrefixChain> chain,
        Duration hold,
        Duration timeLeft) {}
