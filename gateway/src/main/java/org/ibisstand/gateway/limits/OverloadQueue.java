package org.ibisstand.gateway.limits;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.routing.overload.EngineForecast;
import org.ibisstand.routing.overload.OverloadDecision;
import org.ibisstand.routing.overload.OverloadPolicy;
import org.ibisstand.routing.overload.OverloadRequest;

/**
 * Holds the requests with a prompt that wait for room at engines, and polls {@link OverloadPolicy}
 * about them. Confined to the gateway's event loop.
 */
public final class OverloadQueue {
    /** Short against all latency objectives; room that no notice reports is found by then. */
    private static final long POLL_INTERVAL_MILLISECONDS = 20;

    /** Without any engine a request is not delayed: its placement fails at once. */
    private static final EngineForecast NO_ENGINE =
            new EngineForecast(0, Integer.MAX_VALUE, OptionalLong.empty());

    private final OverloadPolicy mPolicy;
    private final Clock mClock;
    private final Timer mTimer;
    private final Metrics mMetrics;
    private final Map<Long, Candidate> mWaiting = new HashMap<>();
    private long mLastIdentifier;
    private boolean mTimerRuns;
    private boolean mPollRequested;

    /**
     * Creates an empty queue.
     *
     * @param policy decides about the requests
     * @param clock the time source of the policy
     * @param timer schedules polls
     * @param metrics counts the decisions
     */
    public OverloadQueue(OverloadPolicy policy, Clock clock, Timer timer, Metrics metrics) {
        mPolicy = policy;
        mClock = clock;
        mTimer = timer;
        mMetrics = metrics;
    }

    /** A request that may run, wait or be rejected. */
    public interface Candidate {
        /** Returns the identifier of the caller's request, for logs. */
        String name();

        /** Returns the input of the policy. */
        OverloadRequest request();

        /** Returns what is known about its engines; empty if there are none. */
        Optional<EngineForecast> forecast();

        /**
         * Refuses the request if the gateway stops before its response might end; the request then
         * removes itself from the queue.
         */
        void refuseIfStopping();

        /** Sends the request to an engine. */
        void run();

        /** Rejects the request, which has not run. */
        void reject(Duration retryAfter);
    }

    /** Runs tasks on the event loop. */
    @FunctionalInterface
    public interface Timer {
        /** Runs a task after a delay. */
        void schedule(String name, Runnable task, long milliseconds);
    }

    /** Counts decisions. */
    public interface Metrics {
        /** Increments a counter. */
        void incrementCounter(String event);

        /** Records how long a request was in the queue. */
        void recordWait(long milliseconds);
    }

    /** Returns an identifier for the next request. */
    public long nextIdentifier() {
        return ++mLastIdentifier;
    }

    /** Runs or rejects a new request, or keeps it until it runs, is rejected or leaves. */
    public void enter(Candidate candidate) {
        EngineForecast forecast = candidate.forecast().orElse(NO_ENGINE);
        OverloadPolicy.Arrival arrival = mPolicy.arrive(candidate.request(), forecast);
        switch (arrival.decision()) {
            case OverloadDecision.Run run -> candidate.run();
            case OverloadDecision.Wait wait -> {
                mWaiting.put(candidate.request().identifier(), candidate);
                mMetrics.incrementCounter("overload_queued");
                decisionLine(candidate, forecast).with("outcome", "wait").write();
                startTimer();
            }
            case OverloadDecision.Reject rejection -> reject(candidate, forecast, rejection, 0);
        }
        arrival.displaced().ifPresent(this::settle);
    }

    /** Forgets a request that will not be sent. */
    public void remove(long identifier) {
        mWaiting.remove(identifier);
        mPolicy.remove(identifier);
    }

    /** Notes that the engine of a request that ran is chosen. */
    public void placed(long identifier) {
        mPolicy.placed(identifier);
    }

    /**
     * Polls the waiting requests soon, as engines may have room. They do not run within this call,
     * since it may come from the middle of another request's step.
     */
    public void requestPoll() {
        if (!mWaiting.isEmpty() && !mPollRequested) {
            mPollRequested = true;
            mTimer.schedule("poll_overload_queue", this::poll, 0);
        }
    }

    private void startTimer() {
        if (!mTimerRuns) {
            mTimerRuns = true;
            mTimer.schedule("poll_overload_queue", this::pollRegularly, POLL_INTERVAL_MILLISECONDS);
        }
    }

    /** A poll that fails is repeated: after a time without a poll, the policy runs all requests. */
    private void pollRegularly() {
        mTimerRuns = false;
        try {
            poll();
        } finally {
            if (!mWaiting.isEmpty()) {
                startTimer();
            }
        }
    }

    private void poll() {
        mPollRequested = false;
        List.copyOf(mWaiting.values()).forEach(Candidate::refuseIfStopping);
        mPolicy.poll(request -> mWaiting.get(request.identifier()).forecast().orElse(NO_ENGINE))
                .forEach(settled -> LoggedTask.of("settle", () -> settle(settled)).run());
    }

    private void settle(OverloadPolicy.Settled settled) {
        Candidate candidate = mWaiting.remove(settled.request().identifier());
        if (candidate == null) {
            return;
        }
        mMetrics.recordWait(settled.waitedMilliseconds());
        switch (settled.decision()) {
            case OverloadDecision.Run run -> candidate.run();
            case OverloadDecision.Wait wait ->
                    throw new IllegalStateException("a waiting request was settled");
            case OverloadDecision.Reject rejection ->
                    reject(
                            candidate,
                            candidate.forecast().orElse(NO_ENGINE),
                            rejection,
                            settled.waitedMilliseconds());
        }
    }

    private void reject(
            Candidate candidate,
            EngineForecast forecast,
            OverloadDecision.Reject rejection,
            long waitedMilliseconds) {
        mMetrics.incrementCounter("overload_rejected");
        decisionLine(candidate, forecast)
                .with("outcome", "reject")
                .with("reason", rejection.reason())
                .with("waited_ms", waitedMilliseconds)
                .with("retry_after_ms", rejection.retryAfter().toMillis())
                .write();
        candidate.reject(rejection.retryAfter());
    }

    private LogLine decisionLine(Candidate candidate, EngineForecast forecast) {
        OverloadRequest request = candidate.request();
        LogLine line =
                LogLine.info("overload_decision")
                        .request(candidate.name())
                        .with("team", request.team())
                        .with("priority", request.priority())
                        .with("predicted_ms", Math.round(forecast.predictedMilliseconds()))
                        .with("remaining_ms", request.deadlineAtMilliseconds() - mClock.millis())
                        .with("queued", mPolicy.waiting());
        forecast.reportAgeMilliseconds().ifPresent(age -> line.with("report_age_ms", age));
        return line;
    }
}
