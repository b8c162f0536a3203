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
 * The work of one backend server: what waits at the agent and what runs at the server.
 *
 * <p>Inputs only change the state; {@link #poll} then says what to dispatch and what to refuse.
 * Work that is refused was never dispatched and never will be. For one thread only.
 */
public final class WorkQueue {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final QueuePolicy mPolicy;
    private final CacheIndex mIndex;
    private final Clock mClock;
    private final Instant mStart;
    private final Map<Long, QueuedWork> mWaiting = new LinkedHashMap<>();
    private final Map<Long, QueuedWork> mRunning = new LinkedHashMap<>();
    private final PendingPieces mPending = new PendingPieces();
    private final TeamShares mShares = new TeamShares();
    private final PrefillSpeed mSpeed = new PrefillSpeed();
    private final ServiceTime mServiceTime = new ServiceTime();
    private final List<QueueAction> mRefusals = new ArrayList<>();
    private final QueueOrder mOrder;
    private final QueueForecast mForecast;
    private boolean mLeaving;

    private WorkQueue(QueuePolicy policy, CacheIndex index, Clock clock) {
        mPolicy = policy;
        mIndex = index;
        mClock = clock;
        mStart = clock.instant();
        mOrder = new QueueOrder(policy, mShares);
        mForecast = new QueueForecast(mOrder, policy.concurrency());
    }

    /**
     * Returns an empty queue.
     *
     * @param policy how work is ordered, bounded and refused
     * @param index the cache of the backend server; an empty one for a plain service
     * @param clock tells the time of every input
     */
    public static WorkQueue create(QueuePolicy policy, CacheIndex index, Clock clock) {
        return new WorkQueue(policy, index, clock);
    }

    /**
     * Predicts when a request would get its first token.
     *
     * @param profile what the request needs
     */
    public Offer offer(RequestProfile profile) {
        double now = advance();
        QueuedWork candidate = estimate(new WorkItem(0, profile), now);
        double rate = mSpeed.bytesPerMillisecond(now);
        double prefill = candidate.mBytes / rate;
        double wait = wait(candidate, rate, now);
        int level = mOrder.level(candidate, now);
        double others = mForecast.delayOfOthers(mWaiting.values(), level, prefill, now);
        return new Offer(
                candidate.mHeldPieces,
                wait,
                firstToken(wait, prefill),
                rate,
                mWaiting.size(),
                others);
    }

    /**
     * Takes work in; a refusal comes out of the next poll.
     *
     * @param work the attempt, with an identifier that was never used before
     */
    public void submit(WorkItem work) {
        double now = advance();
        if (mLeaving) {
            refuse(work, ErrorCode.AGENT_LEAVING, "the agent is leaving", Optional.empty());
            return;
        }
        QueuedWork queued = estimate(work, now);
        double late = lateness(queued, wait(queued, usualRate(now), now), now);
        if (mOrder.refusesEarly() && late > 0) {
            refuseLate(work, late);
            return;
        }
        if (mWaiting.size() >= mOrder.maximumQueued()) {
            refuseLate(work, mServiceTime.milliseconds());
            return;
        }
        mWaiting.put(work.identifier(), queued);
        mPending.add(work.profile().chain());
    }

    /**
     * Notes that the first token of running work arrived.
     *
     * @param identifier the work
     */
    public void firstTokenReceived(long identifier) {
        double now = advance();
        QueuedWork running = mRunning.get(identifier);
        if (running == null || running.mFirstTokenSeen) {
            return;
        }
        running.mFirstTokenSeen = true;
        running.mLastToken = now;
        mSpeed.computed(running.mBytes);
        mPending.remove(running.question().chain());
        mIndex.promptComputed(running.question().chain());
    }

    /**
     * Notes that running work generated a further token.
     *
     * @param identifier the work
     */
    public void tokenReceived(long identifier) {
        double now = advance();
        QueuedWork running = mRunning.get(identifier);
        if (running != null && running.mFirstTokenSeen && now > running.mLastToken) {
            mSpeed.generated(now, now - running.mLastToken);
            running.mLastToken = now;
        }
    }

    /**
     * Notes that work ended at the backend server, whatever its outcome.
     *
     * @param identifier the work
     * @param cachedPieces the leading pieces that the engine reports as found in its cache, if
     *     known
     */
    public void finished(long identifier, OptionalInt cachedPieces) {
        double now = advance();
        QueuedWork ended = mRunning.remove(identifier);
        if (ended == null) {
            return;
        }
        if (!ended.mFirstTokenSeen) {
            mPending.remove(ended.question().chain());
        }
        mServiceTime.observed(now - ended.mDispatched);
        cachedPieces.ifPresent(cached -> mIndex.answered(ended.mBelief, cached));
    }

    /**
     * Withdraws waiting work; running work stays accounted for until it is finished.
     *
     * @param identifier the work
     * @return true if the work was waiting, so that it did not run and never will
     */
    public boolean cancel(long identifier) {
        QueuedWork waiting = mWaiting.remove(identifier);
        if (waiting == null) {
            return false;
        }
        mPending.remove(waiting.question().chain());
        return true;
    }

    /** Refuses all work from now on; waiting and running work goes on. */
    public void startDraining() {
        mLeaving = true;
    }

    /**
     * Replaces the weights of teams; a team without one weighs one.
     *
     * @param weights positive weights by the name of the team
     */
    public void setTeamWeights(Map<String, Double> weights) {
        mShares.setWeights(weights);
    }

    /** Returns what must be dispatched or refused now, in this order. */
    public List<QueueAction> poll() {
        double now = advance();
        if (mOrder.refusesEarly()) {
            refuseHopeless(now);
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

    /** Returns when the next poll is due even if nothing happens until then; it lies ahead. */
    public Optional<Instant> nextPoll() {
        if (!mOrder.refusesEarly()) {
            return Optional.empty();
        }
        // Work is late only after its deadline, so a poll at that instant would change nothing.
        return mWaiting.values().stream()
                .map(work -> work.question().deadline().plusMillis(1))
                .min(Instant::compareTo)
                .map(next -> later(next, mClock.instant().plusMillis(1)));
    }

    private static Instant later(Instant left, Instant right) {
        return left.isAfter(right) ? left : right;
    }

    /** Returns how much work waits. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Returns how much work is at the backend server. */
    public int running() {
        return mRunning.size();
    }

    /** Returns the measured speed of prefill in bytes a millisecond. */
    public double bytesPerMillisecond() {
        return mSpeed.bytesPerMillisecond(advance());
    }

    private Optional<QueuedWork> next(double now) {
        if (mRunning.size() >= mPolicy.concurrency()) {
            return Optional.empty();
        }
        double rate = mSpeed.bytesPerMillisecond(now);
        return mOrder.next(mWaiting.values(), mRunning.values(), rate, now);
    }

    private QueueAction dispatch(QueuedWork work, double now) {
        mWaiting.remove(work.mWork.identifier());
        mPending.remove(work.question().chain());
        estimatePrefill(work, now);
        mPending.add(work.question().chain());
        work.mBelief = mIndex.believe(work.question().chain());
        work.mDispatched = now;
        work.mEnginePriority = mOrder.level(work, now);
        mRunning.put(work.mWork.identifier(), work);
        double cost = Math.max(1, work.mBytes / mSpeed.bytesPerMillisecond(now));
        mShares.served(work.team(), cost);
        return new QueueAction.Dispatch(
                work.mWork.identifier(), work.mEnginePriority, work.mBelief.pieces());
    }

    private QueuedWork estimate(WorkItem work, double now) {
        Instant deadline = work.profile().deadline();
        QueuedWork queued = new QueuedWork(work, now, milliseconds(deadline));
        estimatePrefill(queued, now);
        return queued;
    }

    private void estimatePrefill(QueuedWork work, double now) {
        var chain = work.question().chain();
        work.mHeldPieces = mPending.extend(chain, mIndex.heldPieces(chain));
        work.mBytes = chain.promptBytes() - (double) work.mHeldPieces * chain.pieceBytes();
        work.mLong = work.mBytes / usualRate(now) > mOrder.longMilliseconds();
    }

    private double wait(QueuedWork candidate, double rate, double now) {
        double prefill =
                mForecast.prefillAhead(candidate, mWaiting.values(), mRunning.values(), rate, now);
        double slots =
                mForecast.slotWait(
                        candidate,
                        mWaiting.values(),
                        mRunning.size(),
                        mServiceTime.milliseconds(),
                        now);
        return Math.max(prefill, slots);
    }

    private double firstToken(double wait, double prefill) {
        return prefill > 0 ? wait + prefill : wait + mServiceTime.milliseconds();
    }

    /** Returns the speed without a present slow-down, which lasts for a moment only. */
    private double usualRate(double now) {
        return mSpeed.bytesPerMillisecond(now) * mSpeed.slowness(now);
    }

    /** Returns by how much the first token is predicted to miss the deadline. */
    private double lateness(QueuedWork work, double wait, double now) {
        if (mRunning.isEmpty() && wait == 0) {
            // An idle server may always try, else one wrong estimate of its speed would last.
            return now - work.mDeadline;
        }
        double prefill = work.mBytes / usualRate(now);
        return now + firstToken(wait, prefill) - work.mDeadline;
    }

    private void refuseHopeless(double now) {
        for (QueuedWork work : List.copyOf(mWaiting.values())) {
            double late = lateness(work, 0, now);
            if (late > 0) {
                cancel(work.mWork.identifier());
                refuseLate(work.mWork, late);
            }
        }
    }

    private void refuseLate(WorkItem work, double milliseconds) {
        Duration retryAfter = Duration.ofMillis(Math.max(1, (long) Math.ceil(milliseconds)));
        refuse(
                work,
                ErrorCode.OVERLOADED,
                "the first token would miss the deadline",
                Optional.of(retryAfter));
    }

    private void refuse(
            WorkItem work, ErrorCode code, String message, Optional<Duration> retryAfter) {
        Verdict.NotRun verdict = new Verdict.NotRun(code, message, retryAfter);
        mRefusals.add(new QueueAction.Refuse(work.identifier(), verdict));
    }

    private double advance() {
        double now = milliseconds(mClock.instant());
        double outstanding = 0;
        for (QueuedWork work : mRunning.values()) {
            outstanding += work.mFirstTokenSeen ? 0 : work.mBytes;
        }
        mSpeed.advance(now, outstanding);
        return now;
    }

    private double milliseconds(Instant instant) {
        return Duration.between(mStart, instant).toNanos() / NANOSECONDS_PER_MILLISECOND;
    }
}
