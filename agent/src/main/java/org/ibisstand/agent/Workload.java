package org.ibisstand.agent;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
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
 * Runs requests at the backend server in the order that the queue decides.
 *
 * <p>All methods belong to the control thread; answers of the backend server are streamed on the
 * thread that they arrive on.
 */
final class Workload {
    private static final String BACKEND_DOWN = "the backend server takes no connections";

    private final AgentIdentifier mAgent;
    private final BootIdentifier mBoot;
    private final Clock mClock;
    private final ScheduledExecutorService mControlThread;
    private final WorkQueue mQueue;
    private final Backend mBackend;
    private final BackendHealth mHealth;
    private final AnswerDelivery mDelivery;
    private final WorkloadLimits mLimits;
    private final WorkloadMetrics mMetrics;
    private final Attempts<Execution> mAttempts;
    private final Map<Long, Execution> mExecutions = new HashMap<>();
    private final Map<String, Double> mTeamWeights = new HashMap<>();
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();
    private long mNextWork = 1;

    Workload(
            AgentIdentifier agent,
            BootIdentifier boot,
            Clock clock,
            ScheduledExecutorService controlThread,
            WorkQueue queue,
            Backend backend,
            BackendHealth health,
            OutcomeRecorder recorder,
            WorkloadLimits limits,
            WorkloadMetrics metrics) {
        mAgent = agent;
        mBoot = boot;
        mClock = clock;
        mControlThread = controlThread;
        mQueue = queue;
        mBackend = backend;
        mHealth = health;
        mLimits = limits;
        mMetrics = metrics;
        mAttempts = Attempts.create(clock);
        mDelivery = new AnswerDelivery(clock, controlThread, recorder, mAttempts, metrics);
    }

    /**
     * Predicts when a request could be served.
     *
     * @throws IbisstandException with BACKEND_UNREACHABLE while the backend server is down
     */
    Offer offer(RequestProfile question) {
        if (mHealth.isDown()) {
            throw new IbisstandException(ErrorCode.BACKEND_UNREACHABLE, BACKEND_DOWN);
        }
        return mQueue.offer(question);
    }

    /** Takes a request in; its answer or refusal goes out over the stream. */
    void submit(Submit submit, RequestProfile question, OutboundStream stream) {
        Execution execution =
                new Execution(mNextWork++, submit, question.chain(), mClock.instant());
        if (submit.hasAttempt() && !enterAttempt(execution, stream)) {
            return;
        }
        execution.join(stream);
        if (mHealth.isDown()) {
            endNotRun(execution, new Verdict.NotRun(ErrorCode.BACKEND_UNREACHABLE, BACKEND_DOWN));
            return;
        }
        noteWeight(submit);
        mExecutions.put(execution.work(), execution);
        mQueue.submit(new WorkItem(execution.work(), question));
        poll();
    }

    /** Returns true if the attempt never ran in this boot and never will. */
    boolean tombstone(AttemptKey key) {
        Optional<Execution> known = mAttempts.find(key);
        if (known.isPresent()) {
            return withdraw(known.get(), ErrorCode.ATTEMPT_TOMBSTONED, "taken over elsewhere");
        }
        mAttempts.tombstone(key);
        return true;
    }

    /** Gives up a request whose caller is gone, if it may be given up. */
    void abandon(OutboundStream stream) {
        for (Execution execution : List.copyOf(mExecutions.values())) {
            if (execution.streams().contains(stream)) {
                abandon(execution);
            }
        }
    }

    /** Reads on for a stream that has room again. */
    void resumeReading(OutboundStream stream) {
        mExecutions.values().stream()
                .filter(execution -> execution.streams().contains(stream))
                .flatMap(execution -> execution.call().stream())
                .forEach(BackendCall::resume);
    }

    void leave() {
        mQueue.startDraining();
        poll();
    }

    int inProgress() {
        return mExecutions.size();
    }

    int attempts() {
        return mAttempts.size();
    }

    WorkQueue queue() {
        return mQueue;
    }

    void expire() {
        mAttempts.expire();
    }

    /** Returns whether the attempt is new, after answering for one that is known. */
    private boolean enterAttempt(Execution execution, OutboundStream stream) {
        Submit submit = execution.submit();
        if (submit.getBoot() != mBoot.value()) {
            stream.fail(
                    Failures.frameOf(
                            new Verdict.MayHaveRun(
                                    ErrorCode.BOOT_MISMATCH,
                                    "the attempt is bound to an earlier boot of the agent")));
            return false;
        }
        return switch (mAttempts.start(AttemptKey.of(submit.getAttempt()), execution)) {
            case Attempts.State.Started<Execution> started -> true;
            case Attempts.State.Known<Execution> known -> {
                joinKnown(known.attempt(), stream);
                yield false;
            }
            case Attempts.State.Tombstoned<Execution> tombstoned -> {
                stream.fail(
                        Failures.frameOf(
                                new Verdict.NotRun(
                                        ErrorCode.ATTEMPT_TOMBSTONED,
                                        "the attempt was withdrawn before it ran")));
                yield false;
            }
        };
    }

    private void noteWeight(Submit submit) {
        double weight = Math.max(1, submit.getTeamWeight());
        Double before = mTeamWeights.put(submit.getTeam(), weight);
        if (before == null || before != weight) {
            mQueue.setTeamWeights(mTeamWeights);
        }
    }

    private void joinKnown(Execution known, OutboundStream stream) {
        known.join(stream);
        if (known.stage() == Execution.Stage.ENDED) {
            mDelivery.deliver(known, List.of(stream));
        }
    }

    private void poll() {
        for (QueueAction action : mQueue.poll()) {
            switch (action) {
                case QueueAction.Dispatch dispatch -> dispatch(dispatch);
                case QueueAction.Refuse refuse -> refuse(refuse);
            }
        }
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer = mQueue.nextPoll().map(this::pollAt);
    }

    private ScheduledFuture<?> pollAt(Instant instant) {
        long pause = Math.max(1, Duration.between(mClock.instant(), instant).toMillis() + 1);
        return mControlThread.schedule(this::poll, pause, TimeUnit.MILLISECONDS);
    }

    private void dispatch(QueueAction.Dispatch dispatch) {
        Execution execution = mExecutions.get(dispatch.work());
        execution.dispatched(mClock.instant(), dispatch.cachedPieces());
        Submit submit = EngineRequest.withPriority(execution.submit(), dispatch.enginePriority());
        Duration timeout = mLimits.answerTimeout(submit);
        execution.call(mBackend.start(submit, timeout, new Listener(execution)));
        mMetrics.dispatched();
    }

    private void refuse(QueueAction.Refuse refuse) {
        Execution execution = mExecutions.remove(refuse.work());
        endNotRun(execution, refuse.verdict());
    }

    private boolean withdraw(Execution execution, ErrorCode code, String message) {
        if (execution.stage() != Execution.Stage.WAITING || !mQueue.cancel(execution.work())) {
            return false;
        }
        mExecutions.remove(execution.work());
        endNotRun(execution, new Verdict.NotRun(code, message));
        poll();
        return true;
    }

    private void endNotRun(Execution execution, Verdict.NotRun verdict) {
        execution.ended();
        execution.attempt().ifPresent(mAttempts::tombstone);
        execution.fail(Failures.frameOf(verdict));
        mMetrics.refused();
        log(execution, verdict);
    }

    private void abandon(Execution execution) {
        if (withdraw(execution, ErrorCode.CALLER_GONE, "the caller is gone")) {
            return;
        }
        if (execution.mayBeCancelled()) {
            execution.call().ifPresent(BackendCall::cancel);
        }
    }

    private void first(Execution execution) {
        execution.firstByte(mClock.instant());
        mQueue.firstTokenReceived(execution.work());
        mMetrics.firstByte(Duration.between(execution.dispatched(), mClock.instant()));
        poll();
    }

    private void finished(Execution execution) {
        if (!isWhole(execution)) {
            failed(execution, true, ErrorCode.STREAM_BROKEN, "the engine ended without end mark");
            return;
        }
        end(execution, mDelivery.cachedPieces(execution));
        if (execution.isClaimed()) {
            mDelivery.record(execution, execution.collectedOutcome(mLimits.maximumRecordedBytes()));
        } else {
            mDelivery.end(execution);
        }
        log(execution, new Verdict.Completed());
    }

    private static boolean isWhole(Execution execution) {
        boolean eventStream = execution.submit().getStream() && execution.status() == 200;
        return !eventStream || execution.usage().sawEndMark();
    }

    private void failed(Execution execution, boolean written, ErrorCode code, String message) {
        if (code == ErrorCode.BACKEND_UNREACHABLE) {
            mHealth.refused();
        }
        end(execution, OptionalInt.empty());
        if (!written) {
            endNotRun(execution, new Verdict.NotRun(code, message));
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
        execution.ended();
        mExecutions.remove(execution.work());
        mQueue.finished(execution.work(), cachedPieces);
        mMetrics.ended(Duration.between(execution.dispatched(), mClock.instant()));
        poll();
    }

    private void log(Execution execution, Verdict verdict) {
        Logger.info(
                "event=request_ended request={} team={} verdict={} agent={}",
                execution.submit().getRequest(),
                execution.submit().getTeam(),
                verdict.label(),
                mAgent);
    }

    /** Hands what the backend server answers to the streams, and its milestones to the queue. */
    private final class Listener implements BackendListener {
        private final Execution mExecution;

        Listener(Execution execution) {
            mExecution = execution;
        }

        @Override
        public void head(int status, List<Header> headers) {
            mExecution.head(status, headers, mAgent.value(), mBoot.value());
        }

        @Override
        public boolean data(byte[] bytes) {
            boolean mayContinue = mExecution.data(bytes);
            if (mExecution.markFirst()) {
                mControlThread.execute(() -> first(mExecution));
            } else {
                mControlThread.execute(() -> mQueue.tokenReceived(mExecution.work()));
            }
            return mayContinue;
        }

        @Override
        public void finished() {
            mControlThread.execute(() -> Workload.this.finished(mExecution));
        }

        @Override
        public void failed(boolean written, ErrorCode code, String message) {
            mControlThread.execute(() -> Workload.this.failed(mExecution, written, code, message));
        }
    }
}
