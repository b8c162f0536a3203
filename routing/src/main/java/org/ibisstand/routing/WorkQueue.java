package org.ibisstand.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;

/**
 * The queue of an agent: work that waits at the agent and work that runs at its backend server.
 *
 * <p>Events only change the state; {@link #poll} then returns the work to dispatch and to refuse.
 * Refused work was never dispatched and never will be. Not thread-safe.
 */
public final class WorkQueue {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final QueuePolicy mPolicy;
    private final CacheIndex mCacheIndex;
    private final Clock mClock;
    private final Instant mStart;
    private final Map<Long, QueuedWork> mWaiting = new LinkedHashMap<>();
    private final Map<Long, QueuedWork> mRunning = new LinkedHashMap<>();
    private final PendingPieces mPendingPieces = new PendingPieces();
    private final TeamShares mShares = new TeamShares();
    private final PrefillRate mPrefillRate = new PrefillRate();
    private final ServiceTime mServiceTime = new ServiceTime();
    private final List<QueueAction> mRefusals = new ArrayList<>();
    private final QueueOrder mOrder;
    private final QueueForecast mForecast;
    private boolean mIsDraining;

    private WorkQueue(QueuePolicy policy, CacheIndex index, Clock clock) {
        mPolicy = policy;
        mCacheIndex = index;
        mClock = clock;
        mStart = clock.instant();
        mOrder = new QueueOrder(policy, mShares);
        mForecast = new QueueForecast(mOrder, policy.concurrency());
    }

    /**
     * Returns an empty queue.
     *
     * @param policy how work is ordered, limited and refused
     * @param index the index of the backend server's cache; an empty one for a plain service
     * @param clock the clock that times all events
     */
    public static WorkQueue create(QueuePolicy policy, CacheIndex index, Clock clock) {
        return new WorkQueue(policy, index, clock);
    }

    /**
     * Predicts the time to first token of a request without queueing it.
     *
     * @param profile the properties of the request
     */
    public Offer offer(RequestProfile profile) {
        double now = advanceClock();
        QueuedWork candidate = estimate(new WorkItem(0, profile), now);
        double bytesPerMillisecond = mPrefillRate.bytesPerMillisecond(now);
        double prefill = candidate.mUncachedBytes / bytesPerMillisecond;
        double wait = predictedWait(candidate, bytesPerMillisecond, now);
        int level = mOrder.priorityLevel(candidate, now);
        double costOnOthers =
                mForecast.delayOfLowerPriority(mWaiting.values(), level, prefill, now);
        return new Offer(
                candidate.mCachedPieces,
                wait,
                firstTokenTime(wait, prefill),
                bytesPerMillisecond,
                mWaiting.size(),
                costOnOthers);
    }

    /**
     * Queues work, or refuses it; a refusal is returned by the next {@link #poll}.
     *
     * @param work the attempt, with an identifier that was never used before
     */
    public void submit(WorkItem work) {
        double now = advanceClock();
        if (mIsDraining) {
            refuse(work, ErrorCode.AGENT_LEAVING, "the agent is leaving", Optional.empty());
            return;
        }
        QueuedWork queued = estimate(work, now);
        double latenessMilliseconds =
                predictedLateness(queued, predictedWait(queued, unslowedRate(now), now), now);
        if (mOrder.refusesEarly() && latenessMilliseconds > 0) {
            refuseOverloaded(work, latenessMilliseconds);
            return;
        }
        if (mWaiting.size() >= mOrder.maximumQueued()) {
            refuseOverloaded(work, mServiceTime.averageMilliseconds());
            return;
        }
        mWaiting.put(work.identifier(), queued);
        mPendingPieces.add(work.profile().chain());
    }

    /**
     * Records that the first token of running work arrived.
     *
     * @param identifier the identifier of the work
     */
    public void firstTokenReceived(long identifier) {
        double now = advanceClock();
        QueuedWork running = mRunning.get(identifier);
        if (running == null || running.mHasFirstToken) {
            return;
        }
        running.mHasFirstToken = true;
        running.mLastTokenMilliseconds = now;
        mPrefillRate.prefillCompleted(running.mUncachedBytes);
        mPendingPieces.remove(running.profile().chain());
        mCacheIndex.promptComputed(running.profile().chain());
    }

    /**
     * Records that running work generated another token.
     *
     * @param identifier the identifier of the work
     */
    public void tokenReceived(long identifier) {
        double now = advanceClock();
        QueuedWork running = mRunning.get(identifier);
        if (running != null && running.mHasFirstToken && now > running.mLastTokenMilliseconds) {
            mPrefillRate.tokenGenerated(now, now - running.mLastTokenMilliseconds);
            running.mLastTokenMilliseconds = now;
        }
    }

    /**
     * Records that work ended at the backend server, with any outcome.
     *
     * @param identifier the identifier of the work
     * @param cachedPieces the leading pieces that the engine reported as cache hits, if known
     */
    public void finished(long identifier, OptionalInt cachedPieces) {
        double now = advanceClock();
        QueuedWork ended = mRunning.remove(identifier);
        if (ended == null) {
            return;
        }
        if (!ended.mHasFirstToken) {
            mPendingPieces.remove(ended.profile().chain());
        }
        mServiceTime.add(now - ended.mDispatchMilliseconds);
        cachedPieces.ifPresent(cached -> mCacheIndex.correct(ended.mCachePrediction, cached));
    }

    /**
     * Removes waiting work from the queue. Running work is not affected and stays counted until
     * {@link #finished}.
     *
     * @param identifier the identifier of the work
     * @return true if the work was waiting, so that it did not run and never will
     */
    public boolean cancel(long identifier) {
        QueuedWork removed = mWaiting.remove(identifier);
        if (removed == null) {
            return false;
        }
        mPendingPieces.remove(removed.profile().chain());
        return true;
    }

    /** Refuses new work from now on; waiting and running work continues. */
    public void startDraining() {
        mIsDraining = true;
    }

    /**
     * Replaces the fair-share weights of all teams. A team that is not listed has a weight of one.
     *
     * @param weights positive weights by team name
     */
    public void setTeamWeights(Map<String, Double> weights) {
        mShares.setWeights(weights);
    }

    /** Returns the actions to perform now, in order: refusals first, then dispatches. */
    public List<QueueAction> poll() {
        double now = advanceClock();
        if (mOrder.refusesEarly()) {
            refuseOverdue(now);
        }
        List<QueueAction> actions = new ArrayList<>(mRefusals);
        mRefusals.clear();
        Optional<QueuedWork> next = next(now);
        while (next.isPresent()) {
            actions.add(dispatch(next.get(), now));
            next = next(now);
        }
        return actions;
    }

    /**
     * Returns when to poll next if no event occurs before, always in the future; empty if only
     * events can lead to new actions.
     */
    public Optional<Instant> nextPoll() {
        if (!mOrder.refusesEarly()) {
            return Optional.empty();
        }
        // Work is refused only after its deadline, so a poll exactly at it would change nothing.
        return mWaiting.values().stream()
                .map(work -> work.profile().deadline().plusMillis(1))
                .min(Instant::compareTo)
                .map(next -> later(next, mClock.instant().plusMillis(1)));
    }

    private static Instant later(Instant left, Instant right) {
        return left.isAfter(right) ? left : right;
    }

    /** Returns the number of waiting work items. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns the number of work items at the backend server. */
    public int running() {
        return mRunning.size();
    }

    /** Returns the measured prefill rate in bytes per millisecond. */
    public double bytesPerMillisecond() {
        return mPrefillRate.bytesPerMillisecond(advanceClock());
    }

    private Optional<QueuedWork> next(double now) {
        if (mRunning.size() >= mPolicy.concurrency()) {
            return Optional.empty();
        }
        double bytesPerMillisecond = mPrefillRate.bytesPerMillisecond(now);
        return mOrder.next(mWaiting.values(), mRunning.values(), bytesPerMillisecond, now);
    }

    private QueueAction dispatch(QueuedWork work, double now) {
        mWaiting.remove(work.mWork.identifier());
        mPendingPieces.remove(work.profile().chain());
        estimatePrefill(work, now);
        mPendingPieces.add(work.profile().chain());
        work.mCachePrediction = mCacheIndex.predict(work.profile().chain());
        work.mDispatchMilliseconds = now;
        work.mEnginePriority = mOrder.priorityLevel(work, now);
        mRunning.put(work.mWork.identifier(), work);
        double cost = Math.max(1, work.mUncachedBytes / mPrefillRate.bytesPerMillisecond(now));
        mShares.charge(work.team(), cost);
        return new QueueAction.Dispatch(
                work.mWork.identifier(), work.mEnginePriority, work.mCachePrediction.pieces());
    }

    private QueuedWork estimate(WorkItem work, double now) {
        Instant deadline = work.profile().deadline();
        QueuedWork queued = new QueuedWork(work, now, milliseconds(deadline));
        estimatePrefill(queued, now);
        return queued;
    }

    private void estimatePrefill(QueuedWork work, double now) {
        var chain = work.profile().chain();
        work.mCachedPieces = mPendingPieces.extendPrefix(chain, mCacheIndex.heldPieces(chain));
        work.mUncachedBytes =
                chain.promptBytes() - (double) work.mCachedPieces * chain.pieceBytes();
        work.mIsLong = work.mUncachedBytes / unslowedRate(now) > mOrder.longPrefillMilliseconds();
    }

    private double predictedWait(QueuedWork candidate, double bytesPerMillisecond, double now) {
        double prefillWait =
                mForecast.prefillAhead(
                        candidate, mWaiting.values(), mRunning.values(), bytesPerMillisecond, now);
        double slotWait =
                mForecast.slotWait(
                        candidate,
                        mWaiting.values(),
                        mRunning.size(),
                        mServiceTime.averageMilliseconds(),
                        now);
        return Math.max(prefillWait, slotWait);
    }

    private double firstTokenTime(double wait, double prefill) {
        return prefill > 0 ? wait + prefill : wait + mServiceTime.averageMilliseconds();
    }

    /** Returns the prefill rate without the current slow-down, since slow-downs are short. */
    private double unslowedRate(double now) {
        return mPrefillRate.bytesPerMillisecond(now) * mPrefillRate.slowness(now);
    }

    /**
     * Returns the milliseconds by which the first token is predicted to miss the deadline; negative
     * if it is in time.
     */
    private double predictedLateness(QueuedWork work, double wait, double now) {
        if (mRunning.isEmpty() && wait == 0) {
            // An idle server always gets the work: otherwise a rate estimated too low would never
            // be corrected, since only work corrects it.
            return now - work.mDeadlineMilliseconds;
        }
        double prefill = work.mUncachedBytes / unslowedRate(now);
        return now + firstTokenTime(wait, prefill) - work.mDeadlineMilliseconds;
    }

    private void refuseOverdue(double now) {
        for (QueuedWork work : List.copyOf(mWaiting.values())) {
            double latenessMilliseconds = predictedLateness(work, 0, now);
            if (latenessMilliseconds > 0) {
                cancel(work.mWork.identifier());
                refuseOverloaded(work.mWork, latenessMilliseconds);
            }
        }
    }

    private void refuseOverloaded(WorkItem work, double retryAfterMilliseconds) {
        Duration retryAfter =
                Duration.ofMillis(Math.max(1, (long) Math.ceil(retryAfterMilliseconds)));
        refuse(
                work,
                ErrorCode.OVERLOADED,
                "the queue is full or the request would miss its deadline",
                Optional.of(retryAfter));
    }

    private void refuse(
            WorkItem work, ErrorCode code, String message, Optional<Duration> retryAfter) {
        Verdict.NotRun verdict = new Verdict.NotRun(code, message, retryAfter);
        mRefusals.add(new QueueAction.Refuse(work.identifier(), verdict));
    }

    private double advanceClock() {
        double now = milliseconds(mClock.instant());
        double outstanding = 0;
        for (QueuedWork work : mRunning.values()) {
            outstanding += work.mHasFirstToken ? 0 : work.mUncachedBytes;
        }
        mPrefillRate.advance(now, outstanding);
        return now;
    }

    private double milliseconds(Instant instant) {
        return Duration.between(mStart, instant).toNanos() / NANOSECONDS_PER_MILLISECOND;
    }
}
