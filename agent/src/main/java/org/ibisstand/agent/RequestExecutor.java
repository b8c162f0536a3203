package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.Offer;
import org.ibisstand.routing.QueueAction;
import org.ibisstand.routing.RequestProfile;
import org.ibisstand.routing.WorkItem;
import org.ibisstand.routing.WorkQueue;
import org.ibisstand.wire.Failures;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.message.Header;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.Submit;
import org.tinylog.Logger;

/**
 * Executes requests at the backend server in the order that the queue decides.
 *
 * <p>All methods must be called on the control thread. Responses of the backend server are streamed
 * on the event loop thread that receives them.
 */
final class RequestExecutor {
    private static final String BACKEND_DOWN_MESSAGE = "the backend server accepts no connections";
    private static final String OTHER_WEIGHTS_MESSAGE =
            "the engine has other weights or is to load them";

    private final AgentIdentifier mAgent;
    private final BootIdentifier mBoot;
    private final Clock mClock;
    private final ScheduledExecutorService mControlThread;
    private final WorkQueue mQueue;
    private final Backend mBackend;
    private final BackendHealth mHealth;
    private final LoadedWeights mWeights;
    private final ResponseDelivery mDelivery;
    private final ExecutionLimits mLimits;
    private final ExecutionMetrics mMetrics;
    private final Attempts<Execution> mAttempts;
    private final Map<Long, Execution> mExecutions = new HashMap<>();
    private final List<Drain> mDrains = new ArrayList<>();
    private final Map<String, Double> mTeamWeights = new HashMap<>();
    private Optional<ScheduledFuture<?>> mNextPoll = Optional.empty();
    private long mNextWorkIdentifier = 1;

    RequestExecutor(
            AgentIdentifier agent,
            BootIdentifier boot,
            Clock clock,
            ScheduledExecutorService controlThread,
            WorkQueue queue,
            Backend backend,
            BackendHealth health,
            LoadedWeights weights,
            OutcomeRecorder recorder,
            ExecutionLimits limits,
            ExecutionMetrics metrics) {
        mAgent = agent;
        mBoot = boot;
        mClock = clock;
        mControlThread = controlThread;
        mQueue = queue;
        mBackend = backend;
        mHealth = health;
        mWeights = weights;
        mLimits = limits;
        mMetrics = metrics;
        mAttempts = Attempts.create(clock);
        mDelivery = new ResponseDelivery(clock, controlThread, recorder, mAttempts, metrics);
    }

    /**
     * Predicts when a request would be served.
     *
     * @throws IbisstandException with BACKEND_UNREACHABLE while the backend server is down
     */
    Offer offer(RequestProfile profile) {
        if (mHealth.isDown()) {
            throw new IbisstandException(ErrorCode.BACKEND_UNREACHABLE, BACKEND_DOWN_MESSAGE);
        }
        return mQueue.offer(profile);
    }

    /** Queues a request; its response or rejection is sent over the stream. */
    void submit(Submit submit, RequestProfile profile, OutboundStream stream) {
        Execution execution =
                new Execution(mNextWorkIdentifier++, submit, profile.chain(), mClock.instant());
        if (submit.hasAttempt() && !registerAttempt(execution, stream)) {
            return;
        }
        execution.join(stream);
        if (mHealth.isDown()) {
            endWithoutRunning(
                    execution,
                    new Verdict.NotRun(ErrorCode.BACKEND_UNREACHABLE, BACKEND_DOWN_MESSAGE));
            return;
        }
        if (!submit.getModel().isEmpty()
                && !mWeights.serves(submit.getModel(), submit.getWeightsVersion())) {
            endWithoutRunning(
                    execution,
                    new Verdict.NotRun(ErrorCode.NO_AGENT_AVAILABLE, OTHER_WEIGHTS_MESSAGE));
            return;
        }
        updateTeamWeight(submit);
        mExecutions.put(execution.workIdentifier(), execution);
        mQueue.submit(new WorkItem(execution.workIdentifier(), profile));
        poll();
    }

    /** Returns whether the attempt has not run since the agent started and never will. */
    boolean tombstone(AttemptKey key) {
        Optional<Execution> existing = mAttempts.find(key);
        if (existing.isPresent()) {
            return cancelWaiting(
                    existing.get(),
                    ErrorCode.ATTEMPT_TOMBSTONED,
                    "the attempt was withdrawn while it was queued");
        }
        mAttempts.tombstone(key);
        return true;
    }

    /** Cancels the request of a stream that has no reader, if it may be cancelled. */
    void onStreamAbandoned(OutboundStream stream) {
        for (Execution execution : List.copyOf(mExecutions.values())) {
            if (execution.streams().contains(stream)) {
                cancelIfAllowed(execution);
            }
        }
    }

    /** Resumes reading the response for a stream whose buffer has space again. */
    void resumeReading(OutboundStream stream) {
        mExecutions.values().stream()
                .filter(execution -> execution.streams().contains(stream))
                .flatMap(execution -> execution.call().stream())
                .forEach(BackendCall::resumeReading);
    }

    /**
     * Ends the queued requests of a model without running them and waits for its runs.
     *
     * @param model a model of which no request is accepted for now
     * @param maximumWait how long to wait
     * @return completes on the control thread; false if runs go on after the wait
     */
    CompletableFuture<Boolean> drain(String model, Duration maximumWait) {
        for (Execution execution : List.copyOf(mExecutions.values())) {
            if (execution.submit().getModel().equals(model)) {
                cancelWaiting(execution, ErrorCode.NO_AGENT_AVAILABLE, OTHER_WEIGHTS_MESSAGE);
            }
        }
        Drain drain = new Drain(model, new CompletableFuture<>());
        mDrains.add(drain);
        completeDrains();
        if (!drain.ended().isDone()) {
            ScheduledFuture<?> timer =
                    mControlThread.schedule(
                            () -> {
                                mDrains.remove(drain);
                                drain.ended().complete(false);
                            },
                            maximumWait.toMillis(),
                            TimeUnit.MILLISECONDS);
            drain.ended().thenRun(() -> timer.cancel(false));
        }
        return drain.ended();
    }

    void startDraining() {
        mQueue.startDraining();
        poll();
    }

    int requestsInProgress() {
        return mExecutions.size();
    }

    int attemptCount() {
        return mAttempts.size();
    }

    WorkQueue queue() {
        return mQueue;
    }

    void removeExpiredAttempts() {
        mAttempts.removeExpired();
    }

    /** Returns whether the attempt is new; otherwise responds to the stream or joins the run. */
    private boolean registerAttempt(Execution execution, OutboundStream stream) {
        Submit submit = execution.submit();
        if (submit.getBoot() != mBoot.value()) {
            stream.fail(
                    Failures.frameOf(
                            new Verdict.MayHaveRun(
                                    ErrorCode.BOOT_MISMATCH,
                                    "the attempt belongs to another boot of the agent")));
            return false;
        }
        return switch (mAttempts.tryStart(AttemptKey.of(submit.getAttempt()), execution)) {
            case Attempts.State.Started<Execution> ignored -> true;
            case Attempts.State.Known<Execution> existing -> {
                joinExisting(existing.attempt(), stream);
                yield false;
            }
            case Attempts.State.Tombstoned<Execution> unused -> {
                stream.fail(
                        Failures.frameOf(
                                new Verdict.NotRun(
                                        ErrorCode.ATTEMPT_TOMBSTONED,
                                        "the attempt was withdrawn before it ran")));
                yield false;
            }
        };
    }

    private void updateTeamWeight(Submit submit) {
        double weight = Math.max(1, submit.getTeamWeight());
        Double previous = mTeamWeights.put(submit.getTeam(), weight);
        if (previous == null || previous != weight) {
            mQueue.setTeamWeights(mTeamWeights);
        }
    }

    private void joinExisting(Execution existing, OutboundStream stream) {
        existing.join(stream);
        if (existing.stage() == Execution.Stage.ENDED) {
            mDelivery.deliver(existing, List.of(stream));
        }
    }

    private void poll() {
        for (QueueAction action : mQueue.poll()) {
            switch (action) {
                case QueueAction.Dispatch dispatch -> dispatch(dispatch);
                case QueueAction.Refuse refusal -> refuse(refusal);
            }
        }
        mNextPoll.ifPresent(timer -> timer.cancel(false));
        mNextPoll = mQueue.nextPoll().map(this::pollAt);
    }

    private ScheduledFuture<?> pollAt(Instant instant) {
        long delay = Math.max(1, Duration.between(mClock.instant(), instant).toMillis() + 1);
        return mControlThread.schedule(this::poll, delay, TimeUnit.MILLISECONDS);
    }

    private void dispatch(QueueAction.Dispatch dispatch) {
        Execution execution = mExecutions.get(dispatch.work());
        execution.markDispatched(mClock.instant(), dispatch.cachedPieces());
        Submit submit =
                EngineRequestBody.withPriority(execution.submit(), dispatch.enginePriority());
        Duration timeout = mLimits.responseTimeout(submit);
        execution.setCall(mBackend.start(submit, timeout, new Listener(execution)));
        mMetrics.dispatched();
    }

    private void refuse(QueueAction.Refuse refusal) {
        Execution execution = mExecutions.remove(refusal.work());
        endWithoutRunning(execution, refusal.verdict());
    }

    private boolean cancelWaiting(Execution execution, ErrorCode code, String message) {
        if (execution.stage() != Execution.Stage.QUEUED
                || !mQueue.cancel(execution.workIdentifier())) {
            return false;
        }
        mExecutions.remove(execution.workIdentifier());
        endWithoutRunning(execution, new Verdict.NotRun(code, message));
        poll();
        return true;
    }

    private void endWithoutRunning(Execution execution, Verdict.NotRun verdict) {
        execution.markEnded();
        execution.attempt().ifPresent(mAttempts::tombstone);
        execution.fail(Failures.frameOf(verdict));
        mMetrics.notRun();
        log(execution, verdict);
    }

    private void cancelIfAllowed(Execution execution) {
        if (cancelWaiting(execution, ErrorCode.CALLER_GONE, "the caller disconnected")) {
            return;
        }
        if (execution.isCancellable()) {
            execution.call().ifPresent(BackendCall::cancel);
        }
    }

    private void onFirstByte(Execution execution) {
        execution.markFirstByte(mClock.instant());
        mQueue.firstTokenReceived(execution.workIdentifier());
        mMetrics.firstByte(Duration.between(execution.dispatchedAt(), mClock.instant()));
        poll();
    }

    private void onComplete(Execution execution) {
        if (!isComplete(execution)) {
            onFailure(
                    execution,
                    true,
                    ErrorCode.STREAM_BROKEN,
                    "the event stream of the engine ended without its end marker");
            return;
        }
        end(execution, mDelivery.cachedPieces(execution));
        if (execution.isClaimed()) {
            mDelivery.record(
                    execution, execution.bufferedOutcome(mLimits.maximumRecordedResponseBytes()));
        } else {
            mDelivery.end(execution);
        }
        log(execution, new Verdict.Completed());
    }

    private static boolean isComplete(Execution execution) {
        boolean isEventStream = execution.submit().getStream() && execution.status() == 200;
        return !isEventStream || execution.usage().hasEndMarker();
    }

    private void onFailure(Execution execution, boolean written, ErrorCode code, String message) {
        if (code == ErrorCode.BACKEND_UNREACHABLE) {
            mHealth.onConnectionRefused();
        }
        end(execution, OptionalInt.empty());
        if (!written) {
            endWithoutRunning(execution, new Verdict.NotRun(code, message));
            return;
        }
        Verdict.MayHaveRun verdict = new Verdict.MayHaveRun(code, message);
        log(execution, verdict);
        if (execution.isClaimed()) {
            mDelivery.record(execution, Outcome.newBuilder().setUnknown(true).build());
        } else {
            execution.fail(Failures.frameOf(verdict));
        }
    }

    private void end(Execution execution, OptionalInt cachedPieces) {
        execution.markEnded();
        mExecutions.remove(execution.workIdentifier());
        mQueue.finished(execution.workIdentifier(), cachedPieces);
        mMetrics.completed(Duration.between(execution.dispatchedAt(), mClock.instant()));
        poll();
        completeDrains();
    }

    private void completeDrains() {
        List<Drain> ended = mDrains.stream().filter(drain -> !hasRequests(drain.model())).toList();
        mDrains.removeAll(ended);
        ended.forEach(drain -> drain.ended().complete(true));
    }

    private boolean hasRequests(String model) {
        return mExecutions.values().stream()
                .anyMatch(execution -> execution.submit().getModel().equals(model));
    }

    private void log(Execution execution, Verdict verdict) {
        Logger.info(
                "event=request_ended request={} team={} verdict={} agent={}",
                execution.submit().getRequest(),
                execution.submit().getTeam(),
                verdict.label(),
                mAgent);
    }

    /**
     * A wait for the runs of a model.
     *
     * @param model the model
     * @param ended completes with whether they ended in time
     */
    private record Drain(String model, CompletableFuture<Boolean> ended) {}

    /** Passes response data to the streams and reports progress to the queue. */
    private final class Listener implements BackendListener {
        private final Execution mExecution;

        Listener(Execution execution) {
            mExecution = execution;
        }

        @Override
        public void onHead(int status, List<Header> headers) {
            mExecution.onHead(status, headers, mAgent.value(), mBoot.value());
        }

        @Override
        public boolean onData(byte[] bytes) {
            boolean mayContinue = mExecution.onData(bytes);
            if (mExecution.markFirstData()) {
                mControlThread.execute(() -> onFirstByte(mExecution));
            } else {
                mControlThread.execute(() -> mQueue.tokenReceived(mExecution.workIdentifier()));
            }
            return mayContinue;
        }

        @Override
        public void onComplete() {
            mControlThread.execute(() -> RequestExecutor.this.onComplete(mExecution));
        }

        @Override
        public void onFailure(boolean written, ErrorCode code, String message) {
            mControlThread.execute(
                    () -> RequestExecutor.this.onFailure(mExecution, written, code, message));
        }
    }
}
