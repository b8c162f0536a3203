package org.ibisstand.entry;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;
import org.ibisstand.routing.AgentView;
import org.ibisstand.routing.Choice;
import org.ibisstand.routing.Deadline;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Submit;

/**
 * Carries one call from its arrival to its answer: places it, claims it if it must not run twice,
 * submits it, and tries again where that is allowed.
 *
 * <p>All methods belong to the event loop of the caller.
 */
final class Flow implements Attempt.Owner {
    private static final int MOST_ATTEMPTS = 64;

    private final Call mCall;
    private final FlowContext mContext;
    private final EventExecutor mExecutor;
    private final AnswerSink mSink;
    private final Set<AgentIdentifier> mExcluded = new HashSet<>();
    private final List<Attempt> mActive = new ArrayList<>();
    private final List<ScheduledFuture<?>> mTimers = new ArrayList<>();
    private Optional<Attempt> mAnswering = Optional.empty();
    private Optional<AttemptIdentifier> mTombstoned = Optional.empty();
    private Optional<ClaimedAttempt> mClaimed = Optional.empty();
    private Optional<Choice> mChoice = Optional.empty();
    private Verdict mLastVerdict =
            new Verdict.NotRun(ErrorCode.NO_AGENT_AVAILABLE, "no live agent serves it");
    private int mAttempts;
    private boolean mHedged;
    private boolean mOver;

    Flow(Call call, FlowContext context, EventExecutor executor, AnswerSink sink) {
        mCall = call;
        mContext = context;
        mExecutor = executor;
        mSink = sink;
    }

    void start() {
        after(mCall.timeLeft(mContext.now()), this::deadlinePassed);
        place();
    }

    /** Gives the call up because its caller is gone. */
    void callerGone() {
        if (!mOver) {
            over();
            mContext.metrics().callerGone();
        }
    }

    private void place() {
        if (mOver) {
            return;
        }
        mAttempts++;
        if (mClaimed.isPresent()) {
            submitClaimed(mClaimed.get());
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
            hedgeWhenLate();
        }
    }

    private void noAgentLeft() {
        if (mAttempts >= MOST_ATTEMPTS) {
            finishWith(mLastVerdict);
            return;
        }
        // Agents that failed may be back, and others may have been announced.
        mExcluded.clear();
        after(mContext.backoff(mAttempts), this::place);
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
            finishWith(FlowVerdicts.unclaimed(failure));
            return;
        }
        switch (reply.get().getResult()) {
            case GRANTED, BOUND -> {
                mTombstoned = Optional.empty();
                mClaimed = Optional.of(ClaimedAttempt.of(reply.get()));
                submitClaimed(mClaimed.get());
            }
            case FINISHED -> {
                over();
                RecordedAnswer.send(reply.get(), mSink);
            }
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

    private void submitClaimed(ClaimedAttempt claimed) {
        Optional<AgentView> agent = mContext.state().fleet().find(claimed.agent());
        boolean sameBoot = agent.filter(view -> view.boot().equals(claimed.boot())).isPresent();
        if (sameBoot) {
            submit(agent.get(), Optional.of(claimed.attempt()));
        } else if (mContext.state().fleet().agents().isEmpty()) {
            // The registry is not known yet, so nothing can be said of the agent.
            after(mContext.backoff(mAttempts), this::place);
        } else {
            finishWith(
                    new Verdict.MayHaveRun(
                            ErrorCode.OUTCOME_UNKNOWN,
                            "the agent that the request was bound to is gone"));
        }
    }

    private void submit(AgentView agent, Optional<AttemptIdentifier> identifier) {
        Attempt attempt =
                new Attempt(
                        agent.agent(),
                        mContext,
                        mChoice,
                        new AnswerAssembler(mSink, mCall.isStream()),
                        this);
        mActive.add(attempt);
        Optional<WireConnection> connection = mContext.connections().find(agent.agent());
        if (connection.isEmpty()) {
            attempt.failed(
                    new Verdict.NotRun(ErrorCode.AGENT_UNREACHABLE, "no connection to the agent"),
                    true);
            return;
        }
        Submit submit = Submits.of(mCall, agent, identifier, mContext.now(), mAttempts);
        attempt.attach(
                InboundStream.submit(
                        agent.agent(),
                        mContext.connections(),
                        mExecutor,
                        mContext.clock(),
                        connection.get(),
                        submit,
                        attempt));
    }

    private void hedgeWhenLate() {
        if (!mHedged) {
            mContext.hedging()
                    .delay(mCall.mayBeHedged(), true, mContext.now())
                    .ifPresent(delay -> after(delay, this::hedge));
        }
    }

    private void hedge() {
        boolean late = !mOver && !mHedged && mAnswering.isEmpty() && mActive.size() == 1;
        if (!late || !mContext.hedging().tryAcquire(mContext.now())) {
            return;
        }
        mHedged = true;
        Set<AgentIdentifier> excluded = new HashSet<>(mExcluded);
        mActive.forEach(attempt -> excluded.add(attempt.agent()));
        new PlacementFlow(mCall, mContext, mExecutor, this::hedgePlaced).start(excluded);
    }

    private void hedgePlaced(Optional<Choice> choice) {
        if (!mOver && mAnswering.isEmpty() && choice.isPresent()) {
            mChoice = choice;
            submit(choice.get().agent(), Optional.empty());
        }
    }

    @Override
    public boolean mayAnswer(Attempt attempt) {
        if (mOver) {
            return false;
        }
        if (mAnswering.isEmpty()) {
            mAnswering = Optional.of(attempt);
            boolean second = mHedged && mActive.indexOf(attempt) > 0;
            mContext.answering(mCall, attempt, second);
            cancelOthers(attempt);
        }
        return mAnswering.get() == attempt;
    }

    private void cancelOthers(Attempt answering) {
        List<Attempt> others = mActive.stream().filter(one -> one != answering).toList();
        mActive.removeAll(others);
        others.forEach(Attempt::cancel);
    }

    @Override
    public void ended(Attempt attempt) {
        over();
        attempt.answerEnd();
        mContext.completed(mCall, attempt.agent());
    }

    @Override
    public void failed(Attempt attempt, Verdict verdict, boolean connectionLost) {
        mActive.remove(attempt);
        if (mOver) {
            return;
        }
        mLastVerdict = verdict;
        mAnswering = mAnswering.filter(one -> one != attempt);
        if (attempt.isStarted()) {
            finishWith(FlowVerdicts.cut(verdict));
        } else if (mClaimed.isPresent()) {
            failedClaimed(verdict, connectionLost);
        } else if (mActive.isEmpty()) {
            retry(attempt, verdict);
        }
    }

    private void retry(Attempt attempt, Verdict verdict) {
        mExcluded.add(attempt.agent());
        int untried = Math.max(0, mContext.group(mCall).size() - mExcluded.size());
        Optional<Duration> pause =
                mContext.retries()
                        .backoff(
                                verdict,
                                mCall.idempotent(),
                                mAttempts,
                                untried,
                                new Deadline(mCall.deadline()),
                                mContext.now());
        if (pause.isEmpty() || mAttempts >= MOST_ATTEMPTS) {
            finishWith(verdict);
            return;
        }
        mContext.metrics().retried();
        after(pause.get(), this::place);
    }

    /**
     * Goes on after an attempt that control has bound to an agent.
     *
     * <p>An agent that answers "not run" has given the attempt up for good, so that control may
     * bind the request to another one. After a lost connection only the same agent knows what
     * became of the attempt; it is asked by submitting the same attempt again.
     */
    private void failedClaimed(Verdict verdict, boolean connectionLost) {
        if (connectionLost) {
            after(mContext.backoff(mAttempts), this::place);
        } else if (verdict instanceof Verdict.NotRun && mAttempts < MOST_ATTEMPTS) {
            mTombstoned = mClaimed.map(ClaimedAttempt::attempt);
            mClaimed.map(ClaimedAttempt::agent).ifPresent(mExcluded::add);
            mClaimed = Optional.empty();
            place();
        } else {
            finishWith(verdict);
        }
    }

    private void deadlinePassed() {
        if (mOver || mAnswering.filter(Attempt::isStarted).isPresent()) {
            return;
        }
        String message = "no answer before the deadline";
        boolean submitted = !mActive.isEmpty() || mClaimed.isPresent();
        if (submitted) {
            finishWith(new Verdict.MayHaveRun(ErrorCode.DEADLINE_EXCEEDED, message));
        } else if (mAttempts > 1) {
            finishWith(mLastVerdict);
        } else {
            finishWith(new Verdict.NotRun(ErrorCode.DEADLINE_EXCEEDED, message));
        }
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
        mTimers.forEach(timer -> timer.cancel(false));
        List.copyOf(mActive).forEach(Attempt::cancel);
        mActive.clear();
        mContext.requestOver(mCall);
    }

    private void after(Duration pause, Runnable action) {
        mTimers.add(mExecutor.schedule(action, pause.toNanos(), TimeUnit.NANOSECONDS));
    }
}
