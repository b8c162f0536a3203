package org.ibisstand.control;

import java.util.List;

/**
 * What the state dump and the metrics of a member show, taken on its control thread.
 *
 * @param member the name of the member
 * @param log what it knows of its log
 * @param confirmed whether it is in touch with a majority
 * @param revision of the configuration in force
 * @param claims how many claims are in retention
 * @param keptAnswerBytes the sum of the kept answers
 * @param lowWaterMilliseconds keys of this time or earlier are expired
 * @param openProposals commands that wait for the log
 * @param loads the weight loads in progress
 * @param agents the agents under a lease
 * @param watchers the processes that follow, with the revision that each has in force
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
        List<Watchers.Applied> watchers) {
    static ControlStatus of(String member, ControlParts parts) {
        ClaimTable claims = parts.state().claims();
        return new ControlStatus(
                member,
                parts.log().status(),
                parts.quorum().confirmed(),
                parts.state().revision(),
                claims.size(),
                claims.keptBytes(),
                claims.lowWaterMilliseconds(),
                parts.proposals().open(),
                parts.state().loads().stream()
                        .map(
                                load ->
                                        new WeightLoad(
                                                load.getFencingNumber(),
                                                load.getAgent(),
                                                load.getModel(),
                                                load.getWeightsVersion()))
                        .toList(),
                parts.registry().agents().stream()
                        .map(
                                agent ->
                                        new RegisteredAgent(
                                                agent.getAgent(),
                                                agent.getAddress(),
                                                Long.toHexString(agent.getBoot()),
                                                agent.getLeaving()))
                        .toList(),
                parts.watchers().applied());
    }

    /** A weight load in progress. */
    record WeightLoad(long fencingNumber, String agent, String model, String weightsVersion) {}

    /** An agent under a lease. */
    record RegisteredAgent(String agent, String address, String boot, boolean leaving) {}
}
