package org.ibisstand.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Selects the waiting work to dispatch next, if the backend server has room for it. */
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
            case QueuePolicy.FirstComeFirstServed firstCome -> false;
            case QueuePolicy.PriorityFairQueueing fairQueueing -> fairQueueing.refuseEarly();
        };
    }

    int maximumQueued() {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed firstCome -> Integer.MAX_VALUE;
            case QueuePolicy.PriorityFairQueueing fairQueueing -> fairQueueing.maximumQueued();
        };
    }

    double longPrefillMilliseconds() {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed firstCome -> Double.MAX_VALUE;
            case QueuePolicy.PriorityFairQueueing fairQueueing ->
                    fairQueueing.longPrefillMilliseconds();
        };
    }

    /**
     * Returns the priority level of work; lower goes first. Long work is one level behind short
     * work of its class, and waiting lowers the level.
     */
    int priorityLevel(QueuedWork work, double now) {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed firstCome -> 0;
            case QueuePolicy.PriorityFairQueueing fairQueueing ->
                    agedLevel(work, fairQueueing, now);
        };
    }

    /** Returns the work to dispatch next, or empty if nothing may be dispatched now. */
    Optional<QueuedWork> next(
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            double bytesPerMillisecond,
            double now) {
        return switch (mPolicy) {
            case QueuePolicy.FirstComeFirstServed firstCome -> waiting.stream().findFirst();
            case QueuePolicy.PriorityFairQueueing fairQueueing ->
                    next(waiting, running, fairQueueing, bytesPerMillisecond, now);
        };
    }

    /** Returns the fair-share weight of a team. */
    double weight(String team) {
        return mShares.weight(team);
    }

    private static int agedLevel(
            QueuedWork work, QueuePolicy.PriorityFairQueueing fairQueueing, double now) {
        int level = work.profile().rank() * LEVELS_PER_RANK + (work.mIsLong ? 1 : 0);
        int levelsRaised =
                (int)
                        ((now - work.mArrivalMilliseconds)
                                / fairQueueing.ageingInterval().toMillis());
        return Math.max(0, level - levelsRaised);
    }

    private Optional<QueuedWork> next(
            Collection<QueuedWork> waiting,
            Collection<QueuedWork> running,
            QueuePolicy.PriorityFairQueueing fairQueueing,
            double bytesPerMillisecond,
            double now) {
        double shortPrefill = 0;
        double longPrefill = 0;
        for (QueuedWork work : running) {
            double prefill = work.mHasFirstToken ? 0 : work.mUncachedBytes / bytesPerMillisecond;
            shortPrefill += work.mIsLong ? 0 : prefill;
            longPrefill += work.mIsLong ? prefill : 0;
        }
        boolean mayDispatchShort = shortPrefill < fairQueueing.maximumPrefillMilliseconds();
        boolean isShortWaiting = waiting.stream().anyMatch(work -> !work.mIsLong);
        double longLimit =
                fairQueueing.maximumPrefillMilliseconds()
                        * (isShortWaiting ? fairQueueing.longPrefillShare() : 1);
        boolean mayDispatchLong = longPrefill == 0 && shortPrefill < longLimit;
        return waiting.stream()
                .filter(work -> work.mIsLong ? mayDispatchLong : mayDispatchShort)
                .min(dispatchOrder(now));
    }

    private Comparator<QueuedWork> dispatchOrder(double now) {
        return Comparator.<QueuedWork>comparingInt(work -> priorityLevel(work, now))
                .thenComparingDouble(work -> mShares.virtualStart(work.team()))
                .thenComparingDouble(work -> work.mArrivalMilliseconds)
                .thenComparingLong(work -> work.mWork.identifier());
    }
}
