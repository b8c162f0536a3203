package org.ibisstand.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Predicts how long new work would wait behind the waiting and running work. Times are in
 * milliseconds.
 */
final class QueueForecast {
    private final QueueOrder mOrder;
    private final int mConcurrency;

    QueueForecast(QueueOrder order, int concurrency) {
        mOrder = order;
        mConcurrency = concurrency;
    }

    /** Returns the milliseconds of prefill of other work that would run before the candidate. */
    double prefillAhead(
            QueuedWork candidate,
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            double bytesPerMillisecond,
            double now) {
        int level = mOrder.priorityLevel(candidate, now);
        double ahead = remainingRunningPrefill(level, running, bytesPerMillisecond, now);
        Map<String, Double> backlogByTeam = new HashMap<>();
        for (QueuedWork work : waiting) {
            int workLevel = mOrder.priorityLevel(work, now);
            if (workLevel < level) {
                ahead += work.mUncachedBytes / bytesPerMillisecond;
            } else if (workLevel == level) {
                backlogByTeam.merge(
                        work.team(), work.mUncachedBytes / bytesPerMillisecond, Double::sum);
            }
        }
        return ahead + fairShareAhead(candidate, backlogByTeam, bytesPerMillisecond);
    }

    /** Returns the milliseconds until the backend server has a free slot for the candidate. */
    double slotWait(
            QueuedWork candidate,
            Collection<QueuedWork> waiting,
            int running,
            double serviceMilliseconds,
            double now) {
        int level = mOrder.priorityLevel(candidate, now);
        long ahead =
                waiting.stream().filter(work -> mOrder.priorityLevel(work, now) <= level).count();
        double excess = Math.max(0, running + ahead + 1.0 - mConcurrency);
        return excess * serviceMilliseconds / mConcurrency;
    }

    /**
     * Returns the sum of the delays of all waiting work of lower priority, if new work at a level
     * takes the given time.
     */
    double delayOfLowerPriority(
            Collection<QueuedWork> waiting, int level, double milliseconds, double now) {
        long behind =
                waiting.stream().filter(work -> mOrder.priorityLevel(work, now) > level).count();
        return behind * milliseconds;
    }

    private double remainingRunningPrefill(
            int level, Collection<QueuedWork> running, double bytesPerMillisecond, double now) {
        double totalMilliseconds = 0;
        double earliestDispatch = now;
        for (QueuedWork work : running) {
            if (!work.mHasFirstToken && work.mEnginePriority <= level) {
                totalMilliseconds += work.mUncachedBytes / bytesPerMillisecond;
                earliestDispatch = Math.min(earliestDispatch, work.mDispatchMilliseconds);
            }
        }
        // The engine has spent time since the earliest dispatch on this prefill. At least a tenth
        // counts as remaining.
        return Math.max(totalMilliseconds / 10, totalMilliseconds - (now - earliestDispatch));
    }

    /**
     * Returns the milliseconds of prefill ahead within the candidate's level. Teams are served in
     * proportion to their weights, so only part of another team's long backlog comes first.
     */
    private double fairShareAhead(
            QueuedWork candidate, Map<String, Double> backlogByTeam, double bytesPerMillisecond) {
        double ownBacklog = backlogByTeam.getOrDefault(candidate.team(), 0.0);
        double weight = mOrder.weight(candidate.team());
        double weightedFinish =
                (ownBacklog + candidate.mUncachedBytes / bytesPerMillisecond) / weight;
        double ahead = ownBacklog;
        for (Map.Entry<String, Double> entry : backlogByTeam.entrySet()) {
            if (!entry.getKey().equals(candidate.team())) {
                double servedBefore = weightedFinish * mOrder.weight(entry.getKey());
                ahead += Math.min(entry.getValue(), servedBefore);
            }
        }
        return ahead;
    }
}
