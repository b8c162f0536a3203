package org.ibisstand.routing.quota;

/**
 * The answer about one team.
 *
 * @param team the name of the team
 * @param granted how many of the requests are granted, from the first
 * @param retryAfterMilliseconds when the callers of the other requests may retry; zero if there are
 *     none
 * @param allowance units that the gateway may spend without asking, for {@link
 *     QuotaLedger#ALLOWANCE_MILLISECONDS}
 * @param level the units left; negative while overdrawn
 * @param share the gateway's part of the team's units of the last 5 s, 0 to 1
 * @param unlimited whether the team has no quota
 */
public record QuotaGrant(
        String team,
        int granted,
        long retryAfterMilliseconds,
        long allowance,
        long level,
        double share,
        boolean unlimited) {
    static QuotaGrant unlimited(QuotaDemand demand) {
        return new QuotaGrant(demand.team(), demand.requested().size(), 0, 0, 0, 0, true);
    }
}
