package org.ibisstand.routing.overload;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ibisstand.routing.TeamShares;

/**
 * The order in which waiting requests go to engines: by priority, then those that work was invested
 * in, then by the service that their teams received lately, then by arrival.
 */
final class WaitingOrder {
    private final TeamShares mShares;

    WaitingOrder(TeamShares shares) {
        mShares = shares;
    }

    /** A request with its sort keys, which do not change while it is sorted. */
    private record Ranked(WaitingRequest waiting, int level, boolean isNewWork, double start) {
        static final Comparator<Ranked> ORDER =
                Comparator.comparingInt(Ranked::level)
                        .thenComparing(Ranked::isNewWork)
                        .thenComparingDouble(Ranked::start)
                        .thenComparingLong(ranked -> ranked.waiting().sinceMilliseconds())
                        .thenComparingLong(ranked -> ranked.waiting().request().identifier());

        /**
         * Compares requests of one team: one whose waiting raised its level does not delay one that
         * is urgent by itself.
         */
        static final Comparator<Ranked> TEAM_ORDER =
                Comparator.comparingInt(Ranked::level)
                        .thenComparing(Ranked::isNewWork)
                        .thenComparingInt(ranked -> ranked.waiting().request().priority())
                        .thenComparing(ORDER);

        Ranked startingAt(double virtualStart) {
            return new Ranked(waiting, level, isNewWork, virtualStart);
        }
    }

    /** Returns the requests, first to go first. */
    List<WaitingRequest> sorted(Collection<WaitingRequest> waiting, long now) {
        List<Ranked> ranked = new ArrayList<>(waiting.size());
        for (WaitingRequest each : waiting) {
            ranked.add(new Ranked(each, each.level(now), !each.request().hasInvestedWork(), 0));
        }
        ranked.sort(Ranked.TEAM_ORDER);
        // A request starts after those of its team that go before it. If all requests of a team
        // started at once, a team with many of them would fill the queue before the others.
        Map<String, Double> nextStart = new HashMap<>();
        ranked.replaceAll(each -> each.startingAt(takeStart(nextStart, each.waiting().request())));
        ranked.sort(Ranked.ORDER);
        return ranked.stream().map(Ranked::waiting).toList();
    }

    private double takeStart(Map<String, Double> nextStart, OverloadRequest request) {
        String team = request.team();
        double start = nextStart.computeIfAbsent(team, mShares::virtualStart);
        nextStart.put(team, start + request.tokens() / mShares.weight(team));
        return start;
    }
}
