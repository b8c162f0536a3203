package org.ibisstand.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** Predicts how long new work would wait behind what is there. */
final class QueueForecast {
    private final QueueOrder mOrder;
    private final int mConcurrency;

    QueueForecast(QueueOrder order, int concurrency) {
        mOrder = order;
        mConcurrency = concurrency;
    }

    /** Returns the milliseconds of prefill that would run before a candidate's own. */
    double prefillAhead(
            QueuedWork candidate,
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            double rate,
            double now) {
        int level = mOrder.level(candidate, now);
        double ahead = runningAhead(level, running, rate, now);
        Map<String, Double> sameLevel = new HashMap<>();
        for (QueuedWork work : waiting) {
            int other = mOrder.level(work, now);
            if (other < level) {
                ahead += work.mBytes / rate;
            } else if (other == level) {
                sameLevel.merge(work.team(), work.mBytes / rate, Double::sum);
            }
        }
        return ahead + shareAhead(candidate, sameLevel, rate);
    }

    /** Returns the milliseconds until a place at the backend server is free for a candidate. */
    double slotWait(
            QueuedWork candidate,
            Collection<QueuedWork> waiting,
            int running,
            double serviceMilliseconds,
            double now) {
        int level = mOrder.level(candidate, now);
        long ahead = waiting.stream().filter(work -> mOrder.level(work, now) <= level).count();
        double excess = Math.max(0, running + ahead + 1.0 - mConcurrency);
        return excess * serviceMilliseconds / mConcurrency;
    }

    /** Returns the sum of the delays that waiting work behind a level would suffer. */
    double delayOfOthers(
            Collection<QueuedWork> waiting, int level, double milliseconds, double now) {
        long behind = waiting.stream().filter(work -> mOrder.level(work, now) > level).count();
        return behind * milliseconds;
    }

    private double runningAhead(
            int level, Collection<QueuedWork> running, double rate, double now) {
        double ahead = 0;
        double oldest = now;
        for (QueuedWork work : running) {
            if (!work.mFirstTokenSeen && work.mEnginePriority <= level) {
                ahead += work.mBytes / rate;
                oldest = Math.min(oldest, work.mDispatched);
            }
        }
        // What began earliest has been computed for some of the time since.
        return Math.max(ahead / 10, ahead - (now - oldest));
    }

    /** Within a level teams share by weight, so little of a team's long backlog is ahead. */
    private double shareAhead(QueuedWork candidate, Map<String, Double> byTeam, double rate) {
        double own = byTeam.getOrDefault(candidate.team(), 0.0);
        double weight = mOrder.weight(candidate.team());
        double turn = (own + candidate.mBytes / rate) / weight;
        double ahead = own;
        for (Map.Entry<String, Double> entry : byTeam.entrySet()) {
            if (!entry.getKey().equals(candidate.team())) {
                double others = turn * mOrder.weight(entry.getKey());
                ahead += Math.min(entry.getValue(), others);
            }
        }
        return ahead;
    }
}
