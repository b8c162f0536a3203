package org.ibisstand.control;

/**
 * The parts of a running member, all used on its control thread.
 *
 * @param state what the log replicates
 * @param log where commands go
 * @param proposals sends commands through the log
 * @param claims answers claims
 * @param registry the agents that announced themselves
 * @param watchers the processes that follow configuration and registry
 * @param agentConnections how agents are reached
 * @param rollout brings weights to the engines
 * @param quorum whether the member is in touch with a majority
 * @param fleet routing, weights and the backend servers that announced themselves
 */
record ControlParts(
        ControlState state,
        Log log,
        Proposals proposals,
        ClaimService claims,
        Registry registry,
        Watchers watchers,
        AgentConnections agentConnections,
        WeightRollout rollout,
        Quorum quorum,
        FleetControl fleet) {}
