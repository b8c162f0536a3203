package org.ibisstand.routing.quota;

import java.util.List;
import java.util.Optional;

/**
 * What a gateway asks and reports about one team.
 *
 * @param team the name of the team
 * @param requested the units of each waiting request, in order
 * @param spent units spent from an allowance since the last answer
 * @param refunded units of requests that did not run, since the last answer
 * @param lastLevel the level that the gateway received last, if it did
 */
public record QuotaDemand(
        String team,
        List<Long> requested,
        long spent,
        long refunded,
        Optional<ReportedLevel> lastLevel) {
    /**
     * A level that a gateway received from a leader.
     *
     * @param units the level
     * @param ageMilliseconds how long ago it was received
     */
    public record ReportedLevel(long units, long ageMilliseconds) {}
}
