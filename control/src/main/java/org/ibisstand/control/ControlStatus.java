package org.ibisstand.control;

import java.util.List;

/**
 * A snapshot of the status of a member for its state dump and metrics, taken on its control thread.
 *
 * @param member the name of the member
 * @param log the status of its log
 * @param confirmed whether the member is connected to a quorum
 * @param revision the revision of the configuration in force
 * @param claims the number of claims in retention
 * @param keptAnswerBytes the total size of the kept answers in bytes
 * @param lowWaterMilliseconds keys with this timestamp or an earlier one are expired
 * @param openProposals the number of commands that wait for the log
 * @param loads the weight loads in progress
 * @param agents the agents under a lease
 * @param watchers the watching processes, each with the revision that it has in force
 */
record ControlStatus(
        String member,
        LogStatus log,
        boolean confirmed,
        long revision,
        int claims,
        long keptAnswerBytes,
        long lowWaterMilliseconds,
        int openProposals,
        List<WeightLoad> loads,
        List<RegisteredAgent> agents,
        List<Watchers.AppliedRevision> watchers) {
    static ControlStatus of(String member, ControlComponents components) {
        ClaimTable claims = components.state().claims();
        return new ControlStatus(
                member,
                components.log().status(),
                components.quorum().isConfirmed(),
                components.state().revision(),
                claims.size(),
                claims.keptAnswerBytes(),
                claims.lowWaterMilliseconds(),
                components.proposer().openCount(),
                components.state().loads().stream()
                        .map(
                                load ->
                                        new WeightLoad(
                                                load.getFencingNumber(),
                                                load.getAgent(),
                                                load.getModel(),
                                                load.getWeightsVersion()))
                        .toList(),
                components.registry().agents().stream()
                        .map(
                                agent ->
                                        new RegisteredAgent(
                                                agent.getAgent(),
                                                agent.getAddress(),
                                                Long.toHexString(agent.getBoot()),
                                                agent.getLeaving()))
                        .toList(),
                components.watchers().appliedRevisions());
    }

    /** A weight load in progress. */
    record WeightLoad(long fencingNumber, String agent, String model, String weightsVersion) {}

    /** An agent under a lease. */
    record RegisteredAgent(String agent, String address, String boot, boolean leaving) {}
}
