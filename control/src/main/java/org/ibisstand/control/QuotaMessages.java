package org.ibisstand.control;

import java.util.List;
import java.util.Optional;
import org.ibisstand.routing.quota.QuotaDemand;
import org.ibisstand.routing.quota.QuotaGrant;
import org.ibisstand.wire.message.QuotaRequest;
import org.ibisstand.wire.message.QuotaResponse;
import org.ibisstand.wire.message.TeamDemand;
import org.ibisstand.wire.message.TeamGrant;

/** Converts between the messages of quotas and the records of the ledger. */
final class QuotaMessages {
    private QuotaMessages() {}

    static List<QuotaDemand> demandsOf(QuotaRequest request) {
        return request.getTeamsList().stream().map(QuotaMessages::demandOf).toList();
    }

    static QuotaResponse responseOf(List<QuotaGrant> grants) {
        QuotaResponse.Builder response = QuotaResponse.newBuilder();
        for (QuotaGrant grant : grants) {
            response.addTeams(
                    TeamGrant.newBuilder()
                            .setTeam(grant.team())
                            .setGranted(grant.granted())
                            .setRetryAfterMilliseconds(grant.retryAfterMilliseconds())
                            .setAllowance(grant.allowance())
                            .setLevel(grant.level())
                            .setShare(grant.share())
                            .setUnlimited(grant.unlimited()));
        }
        return response.build();
    }

    private static QuotaDemand demandOf(TeamDemand demand) {
        Optional<QuotaDemand.ReportedLevel> level =
                demand.getHasLevel()
                        ? Optional.of(
                                new QuotaDemand.ReportedLevel(
                                        demand.getLevel(), demand.getLevelAgeMilliseconds()))
                        : Optional.empty();
        return new QuotaDemand(
                demand.getTeam(),
                demand.getRequestedList(),
                demand.getSpent(),
                demand.getRefunded(),
                level);
    }
}
