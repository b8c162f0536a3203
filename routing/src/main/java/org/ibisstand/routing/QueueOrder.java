package org.ibisstand.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Which waiting work goes next, and whether there is room for it at the backend server. */
final class QueueOrder {
    private static final int LEVELS_PER_RANK = 2;

    private final QueuePolicy mPolicy;
    private final TeamShares mShares;

    QueueOrder(QueuePolicy policy, TeamShares shares) {
        mPolicy = policy;
        mShares = shares;
    }

    boolean refusesEarly() {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed first -> false;
            case QueuePolicy.PriorityFairQueueing shared -> shared.refuseEarly();
        };
    }

    int maximumQueued() {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed first -> Integer.MAX_VALUE;
            case QueuePolicy.PriorityFairQueueing shared -> shared.maximumQueued();
        };
    }

    double longMilliseconds() {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed first -> Double.MAX_VALUE;
            case QueuePolicy.PriorityFairQueueing shared -> shared.longMilliseconds();
        };
    }

    /** Returns the urgency of work; lower goes first. Long work stands one level behind short. */
    int level(QueuedWork work, double now) {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed first -> 0;
            case QueuePolicy.PriorityFairQueueing shared -> level(work, shared, now);
        };
    }

    /** Returns the work to dispatch next, or empty if none may go. */
    Optional<QueuedWork> next(
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            double rate,
            double now) {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed first -> waiting.stream().findFirst();
            case QueuePolicy.PriorityFairQueueing shared ->
                    next(waiting, running, shared, rate, now);
        };
    }

    /** Returns the weight of a team's share. */
    double weight(String team) {
        return mShares.weight(team);
    }

    private static int level(QueuedWork work, QueuePolicy.PriorityFairQueueing shared, double now) {
        int level = work.question().rank() * LEVELS_PER_RANK + (work.mLong ? 1 : 0);
        int aged = (int) ((now - work.mArrived) / shared.ageing().toMillis());
        return Math.max(0, level - aged);
    }

    private Optional<QueuedWork> next(
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            QueuePolicy.PriorityFairQueueing shared,
            double rate,
            double now) {
        double shortInside = 0;
        double longInside = 0;
        for (QueuedWork work : running) {
            double prefill = work.mFirstTokenSeen ? 0 : work.mBytes / rate;
            shortInside += work.mLong ? 0 : prefill;
            longInside += work.mLong ? prefill : 0;
        }
        boolean shortMayGo = shortInside < shared.prefillMilliseconds();
        boolean shortWaits = waiting.stream().anyMatch(work -> !work.mLong);
        double longBound = shared.prefillMilliseconds() * (shortWaits ? shared.longShare() : 1);
        boolean longMayGo = longInside == 0 && shortInside < longBound;
        return waiting.stream().filter(work -> work.mLong ? longMayGo : shortMayGo).min(order(now));
    }

    private Comparator<QueuedWork> order(double now) {
        return Comparator.<QueuedWork>comparingInt(work -> level(work, now))
                .thenComparingDouble(work -> mShares.start(work.team()))
                .thenComparingDouble(work -> work.mArrived)
                .thenComparingLong(work -> work.mWork.identifier());
    }
}
