package org.ibisstand.control;

/**
 * The components of a running member, all used on its control thread.
 *
 * @param state the state that the log replicates
 * @param log the replicated log
 * @param proposer proposes commands to the log
 * @param claims handles claims and recorded outcomes
 * @param registry the agents that announced themselves
 * @param watchers the processes that watch the configuration and the registry
 * @param agentConnections the connections to the agents
 * @param rollout rolls out weights versions to the engines
 * @param quorum tracks whether the member is connected to a quorum
 * @param fleet serves routing configurations, weights versions and backend servers
 * @param quotas answers gateways that ask for units of team quotas
 */
record ControlComponents(
        ControlState state,
        Log log,
        CommandProposer proposer,
        ClaimService claims,
        Registry registry,
        Watchers watchers,
        AgentConnections agentConnections,
        WeightRollout rollout,
        QuorumMonitor quorum,
        FleetControl fleet,
        QuotaService quotas) {}
