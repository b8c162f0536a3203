package org.ibisstand.entry;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Choice;
import org.ibisstand.routing.Observation;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.ResponseHead;
import org.ibisstand.wire.message.Submit;

/**
 * Carries one call from its arrival to its answer: places it, claims it if it must not run twice,
 * submits it, and tries again where that is allowed.
 *
 * <p>All methods belong to the event loop of the caller.
 */
final class Flow implements InboundListener {
    private static final int MOST_ATTEMPTS = 64;

    private final Call mCall;
    private final FlowContext mContext;
    private final EventExecutor mExecutor;
    private final AnswerSink mSink;
    private final AnswerAssembler mAnswer;
    private final Set<AgentIdentifier> mExcluded = new HashSet<>();
    private Optional<InboundStream> mStream = Optional.empty();
    private Optional<AttemptIdentifier> mTombstoned = Optional.empty();
    private Optional<BoundAttempt> mBound = Optional.empty();
    private Optional<ScheduledFuture<?>> mDeadlineTimer = Optional.empty();
    private Optional<AgentIdentifier> mAgent = Optional.empty();
    private Verdict mLastVerdict;
    private Optional<Choice> mChoice = Optional.empty();
    private Optional<Observation> mObservation = Optional.empty();
    private int mAttempts;
    private boolean mOver;

    private record BoundAttempt(
            AttemptIdentifier attempt, AgentIdentifier agent, BootIdentifier boot) {}

    Flow(Call call, FlowContext context, EventExecutor executor, AnswerSink sink) {
        mCall = call;
        mContext = context;
        mExecutor = executor;
        mSink = sink;
        mAnswer = new AnswerAssembler(sink, call.isStream());
        mLastVerdict = new Verdict.NotRun(ErrorCode.NO_AGENT_AVAILABLE, "no live agent serves it");
    }

    void start() {
        long left = mCall.timeLeft(mContext.now()).toMillis();
        mDeadlineTimer =
                Optional.of(mExecutor.schedule(this::deadlinePassed, left, TimeUnit.MILLISECONDS));
        place();
    }

    /** Gives the call up because its caller is gone. */
    void callerGone() {
        if (!mOver) {
            over();
            mStream.ifPresent(InboundStream::cancel);
            attemptEnded();
            mContext.metrics().callerGone();
        }
    }

    private void place() {
        if (mOver) {
            return;
        }
        mAttempts++;
        if (mBound.isPresent()) {
            submitBound(mBound.get());
            return;
        }
        new PlacementFlow(mCall, mContext, mExecutor, this::placed).start(Set.copyOf(mExcluded));
    }

    private void placed(Optional<Choice> choice) {
        if (mOver) {
            return;
        }
        if (choice.isEmpty()) {
            noAgentLeft();
            return;
        }
        mChoice = choice;
        if (mCall.needsClaim()) {
            claim(choice.get().agent());
        } else {
            submit(choice.get().agent(), Optional.empty());
        }
    }

    private void noAgentLeft() {
        boolean overloaded =
                mLastVerdict instanceof Verdict.NotRun notRun
                        && notRun.code() == ErrorCode.OVERLOADED;
        if (overloaded || mAttempts >= MOST_ATTEMPTS) {
            finishWith(mLastVerdict);
            return;
        }
        // Agents that failed may be back, and others may have been announced.
        mExcluded.clear();
        placeLater();
    }

    private void placeLater() {
        Duration pause = mContext.backoff(mAttempts);
        mExecutor.schedule(this::place, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void claim(AgentView agent) {
        mContext.claims()
                .claim(
                        mCall,
                        agent.agent(),
                        agent.boot(),
                        mTombstoned,
                        mCall.timeLeft(mContext.now()))
                .whenCompleteAsync(
                        (reply, failure) -> claimed(Optional.ofNullable(reply), failure),
                        mExecutor);
    }

    private void claimed(Optional<ClaimReply> reply, Throwable failure) {
        if (mOver) {
            return;
        }
        if (reply.isEmpty()) {
            finishWith(unclaimed(failure));
            return;
        }
        ClaimReply claim = reply.get();
        switch (claim.getResult()) {
            case GRANTED, BOUND -> {
                mTombstoned = Optional.empty();
                BoundAttempt bound =
                        new BoundAttempt(
                                claim.getAttempt(),
                                new AgentIdentifier(claim.getAgent()),
                                new BootIdentifier(claim.getBoot()));
                mBound = Optional.of(bound);
                submitBound(bound);
            }
            case FINISHED -> RecordedAnswer.send(claim, takeSink());
            case BODY_MISMATCH ->
                    finishWith(
                            new Verdict.NotRun(
                                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                                    "the key was used for another request"));
            case EXPIRED ->
                    finishWith(
                            new Verdict.MayHaveRun(
                                    ErrorCode.IDEMPOTENCY_KEY_EXPIRED,
                                    "what became of the key is not kept any more"));
            default -> finishWith(new Verdict.NotRun(ErrorCode.INTERNAL, "unknown claim reply"));
        }
    }

    private AnswerSink takeSink() {
        over();
        return mSink;
    }

    private Verdict unclaimed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ErrorCode code =
                cause instanceof IbisstandException known ? known.code() : ErrorCode.INTERNAL;
        return new Verdict.NotRun(
                code, "the request could not be claimed; resend it with the same key");
    }

    private void submitBound(BoundAttempt bound) {
        Optional<AgentView> agent = mContext.state().fleet().find(bound.agent());
        boolean sameBoot = agent.filter(view -> view.boot().equals(bound.boot())).isPresent();
        if (!sameBoot && mContext.state().fleet().agents().isEmpty()) {
            placeLater();
        } else if (!sameBoot) {
            finishWith(
                    new Verdict.MayHaveRun(
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the agent that the request was bound to is gone"));
        } else {
            submit(agent.get(), Optional.of(bound.attempt()));
        }
    }

    private void submit(AgentView agent, Optional<AttemptIdentifier> attempt) {
        Optional<WireConnection> connection = mContext.connections().find(agent.agent());
        mAgent = Optional.of(agent.agent());
        if (connection.isEmpty()) {
            failed(
                    new Verdict.NotRun(ErrorCode.AGENT_UNREACHABLE, "no connection to the agent"),
                    true);
            return;
        }
        mObservation = mContext.observe(mChoice);
        mContext.loads().started(agent.agent());
        Submit submit = Submits.of(mCall, mChoice, agent, attempt, mContext.now(), mAttempts);
        mStream =
                Optional.of(
                        InboundStream.submit(
                                agent.agent(),
                                mContext.connections(),
                                mExecutor,
                                mContext.clock(),
                                connection.get(),
                                submit,
                                this));
    }

    @Override
    public void head(ResponseHead head) {
        mAnswer.head(head);
    }

    @Override
    public void data(byte[] bytes, Runnable consumed) {
        mObservation.ifPresent(mContext::firstByteSeen);
        mObservation = Optional.empty();
        if (!mOver) {
            mAnswer.data(bytes, consumed);
            mDeadlineTimer.filter(timer -> mAnswer.isStarted()).ifPresent(one -> one.cancel(false));
        }
    }

    @Override
    public void end(End end) {
        attemptEnded();
        if (!mOver) {
            over();
            mAnswer.end();
            mContext.completed(mCall, mAgent);
        }
    }

    @Override
    public void failed(Verdict verdict, boolean connectionLost) {
        attemptEnded();
        if (mOver) {
            return;
        }
        mLastVerdict = verdict;
        boolean claimed = mBound.isPresent();
        if (mAnswer.isStarted()) {
            finishWith(asMayHaveRun(verdict));
        } else if (claimed) {
            failedClaimed(verdict, connectionLost);
        } else if (verdict.allowsRetry(mCall.idempotent()) && mAttempts < MOST_ATTEMPTS) {
            mAnswer.reset();
            mAgent.ifPresent(mExcluded::add);
            mContext.metrics().retried();
            place();
        } else {
            finishWith(verdict);
        }
    }

    /**
     * Goes on after an attempt that control has bound to an agent.
     *
     * <p>An agent that answers "not run" has given the attempt up for good, so that control may
     * bind the request to another one. After a lost connection only the same agent knows what
     * became of the attempt; it is asked by submitting the same attempt again.
     */
    private void failedClaimed(Verdict verdict, boolean connectionLost) {
        mAnswer.reset();
        if (connectionLost) {
            placeLater();
            return;
        }
        if (verdict instanceof Verdict.NotRun notRun && mayMove(notRun)) {
            mTombstoned = mBound.map(BoundAttempt::attempt);
            mBound.map(BoundAttempt::agent).ifPresent(mExcluded::add);
            mBound = Optional.empty();
            place();
            return;
        }
        finishWith(verdict);
    }

    private boolean mayMove(Verdict.NotRun verdict) {
        return verdict.code() != ErrorCode.CALLER_GONE && mAttempts < MOST_ATTEMPTS;
    }

    private void attemptEnded() {
        mStream.ifPresent(stream -> mAgent.ifPresent(mContext.loads()::finished));
        mStream = Optional.empty();
        mObservation.ifPresent(mContext::abandoned);
        mObservation = Optional.empty();
    }

    private void deadlinePassed() {
        if (mOver || mAnswer.isStarted()) {
            return;
        }
        boolean submitted = mStream.isPresent() || mBound.isPresent();
        mStream.ifPresent(InboundStream::cancel);
        attemptEnded();
        String message = "no answer before the deadline";
        if (submitted) {
            finishWith(new Verdict.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED, message));
        } else if (mLastVerdict instanceof Verdict.MayHaveRun) {
            finishWith(mLastVerdict);
        } else {
            finishWith(lastRefusal(message));
        }
    }

    private Verdict lastRefusal(String message) {
        return mAttempts > 1
                ? mLastVerdict
                : new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED, message);
    }

    private static Verdict asMayHaveRun(Verdict verdict) {
        return switch (verdict) {
            case Verdict.NotRun notRun -> new Verdict.MayHaveRun(notRun.code(), notRun.message());
            case Verdict.MayHaveRun mayHaveRun -> mayHaveRun;
            case Verdict.Completed completed ->
                    new Verdict.MayHaveRun(ErrorCode.STREAM_BROKEN, "the answer is not complete");
        };
    }

    private void finishWith(Verdict verdict) {
        if (!mOver) {
            over();
            mSink.fail(verdict);
            mContext.failed(mCall, verdict);
        }
    }

    private void over() {
        mOver = true;
        mDeadlineTimer.ifPresent(timer -> timer.cancel(false));
        mContext.requestOver();
    }
}
