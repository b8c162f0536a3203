package org.ibisstand.entry;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentGroup;
import org.ibisstand.routing.AgentLoads;
import org.ibisstand.routing.Choice;
import org.ibisstand.routing.Hedging;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.Placement;
import org.ibisstand.routing.RetryBudget;
import org.ibisstand.routing.RetryPolicy;
import org.ibisstand.routing.SlownessTracker;
import org.ibisstand.routing.TeamLimits;
import org.ibisstand.routing.TrackedOperation;
import org.tinylog.Logger;

/** What all flows of one entry share; may be used by any thread. */
final class FlowContext {
    private static final long SHORTEST_BACKOFF_MILLISECONDS = 20;
    private static final long LONGEST_BACKOFF_MILLISECONDS = 400;
    private static final double RETRY_SHARE = 0.1;
    private static final double RETRIES_PER_SECOND = 1;
    private static final double MOST_SAVED_RETRIES = 20;
    private static final int LARGEST_SHIFT = 8;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Clock mClock;
    private final AtomicReference<EntryState> mState;
    private final AgentConnections mConnections;
    private final Claims mClaims;
    private final Placement mPlacement;
    private final AgentLoads mLoads;
    private final SlownessTracker mObservations;
    private final TeamLimits mLimits;
    private final RetryBudget mRetryBudget;
    private final RetryPolicy mRetries;
    private final Hedging mHedging;
    private final RandomGenerator mRandom;
    private final EntryMetrics mMetrics;
    private final AtomicInteger mInProgress = new AtomicInteger();

    FlowContext(
            Clock clock,
            AtomicReference<EntryState> state,
            AgentConnections connections,
            Claims claims,
            Placement placement,
            AgentLoads loads,
            SlownessTracker observations,
            RandomGenerator random,
            EntryMetrics metrics) {
        Instant now = clock.instant();
        mClock = clock;
        mState = state;
        mConnections = connections;
        mClaims = claims;
        mPlacement = placement;
        mLoads = loads;
        mObservations = observations;
        mLimits = TeamLimits.create(clock);
        mRetryBudget = RetryBudget.create(RETRY_SHARE, RETRIES_PER_SECOND, MOST_SAVED_RETRIES, now);
        mRetries = RetryPolicy.create(mRetryBudget, random);
        mHedging = Hedging.standard(now);
        mRandom = random;
        mMetrics = metrics;
    }

    Clock clock() {
        return mClock;
    }

    Instant now() {
        return mClock.instant();
    }

    EntryState state() {
        return mState.get();
    }

    AgentConnections connections() {
        return mConnections;
    }

    Claims claims() {
        return mClaims;
    }

    Placement placement() {
        return mPlacement;
    }

    AgentLoads loads() {
        return mLoads;
    }

    EntryMetrics metrics() {
        return mMetrics;
    }

    RetryPolicy retries() {
        return mRetries;
    }

    Hedging hedging() {
        return mHedging;
    }

    /** Returns the agents that could serve a call. */
    AgentGroup group(Call call) {
        return switch (call.target()) {
            case Call.Target.Model model ->
                    state().fleet().agentsForModel(model.model(), model.weightsVersion());
            case Call.Target.Service service -> state().fleet().agentsForService(service.service());
        };
    }

    /** Counts a call in, unless its team is at a limit. */
    Optional<Verdict.NotRun> requestBegun(Call call) {
        Optional<Verdict.NotRun> refusal = mLimits.tryAcquire(call.team());
        if (refusal.isEmpty()) {
            mInProgress.incrementAndGet();
        }
        return refusal;
    }

    void requestOver(Call call) {
        mInProgress.decrementAndGet();
        mLimits.release(call.team().name(), Duration.between(call.received(), now()));
    }

    int inProgress() {
        return mInProgress.get();
    }

    /** Returns a pause before the next attempt, spread over its whole range. */
    Duration backoff(int attempts) {
        long ceiling = SHORTEST_BACKOFF_MILLISECONDS << Math.min(attempts, LARGEST_SHIFT);
        long bounded = Math.min(ceiling, LONGEST_BACKOFF_MILLISECONDS);
        return Duration.ofMillis(1 + mRandom.nextLong(bounded));
    }

    /** Begins to compare what an offer predicted with what happens. */
    Optional<TrackedOperation> observe(Optional<Choice> choice) {
        return choice.flatMap(one -> one.offer().map(offer -> observe(one.agent().agent(), offer)));
    }

    private TrackedOperation observe(AgentIdentifier agent, Offer offer) {
        Duration expected =
                Duration.ofNanos(
                        (long) (offer.firstTokenMilliseconds() * NANOSECONDS_PER_MILLISECOND));
        return mObservations.started(agent, expected, now());
    }

    void firstByteSeen(TrackedOperation observation) {
        mObservations.completed(observation, now());
    }

    void abandoned(TrackedOperation observation) {
        mObservations.cancelled(observation, now());
    }

    /** Notes which attempt of a call answers. */
    void answering(Call call, Attempt attempt, boolean second) {
        if (call.mayBeHedged()) {
            mHedging.recordLatency(Duration.between(attempt.begun(), now()), now());
        }
        if (second) {
            mHedging.recordWin();
        }
    }

    void completed(Call call, AgentIdentifier agent) {
        mMetrics.completed();
        mRetryBudget.recordSuccess();
        Logger.info(
                "event=request request={} team={} verdict=completed agent={}",
                call.request(),
                call.team().name(),
                agent);
    }

    void failed(Call call, Verdict verdict) {
        mMetrics.failed(verdict);
        Logger.warn(
                "event=request request={} team={} verdict={} reason={}",
                call.request(),
                call.team().name(),
                verdict.label(),
                verdict);
    }
}
