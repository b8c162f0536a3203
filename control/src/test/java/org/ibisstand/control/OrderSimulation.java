package org.ibisstand.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;

/**
 * Simulates a request with an idempotency key that passes through an entry, control and an agent to
 * a backend server, with at most one injected fault for each send, and counts how often it runs.
 */
final class OrderSimulation {
    private static final int OK = 200;
    private static final String IDEMPOTENCY_KEY = "payment";
    private static final String BODY = "body";

    /** The step of a request at which a fault is injected. */
    enum Step {
        BEFORE_CLAIM,
        AFTER_CLAIM,
        WHILE_WRITTEN,
        AFTER_RUN,
        AFTER_ANSWER,
        AFTER_RECORD
    }

    /** A kind of fault. A frozen process continues only after the caller has sent again. */
    enum Fault {
        ENTRY_KILLED,
        AGENT_KILLED,
        CONTROL_RESTARTED,
        AGENT_LEAVING,
        ANSWER_LOST,
        PROCESS_FROZEN
    }

    /** A fault and the step at which it is injected. */
    record InjectedFault(Step step, Fault fault) {}

    /** The result that the caller gets for one send. */
    enum SendResult {
        NO_ANSWER,
        NOT_RUN,
        MAY_HAVE_RUN,
        COMPLETED
    }

    /** Applies claims and outcomes as control does, or as a faulty variant of it. */
    interface ClaimStore {
        CommandResult apply(Command command);

        void restart();
    }

    /** An agent, which knows only the attempts of its current boot. */
    private static final class Agent {
        private final String mName;
        private final Map<AttemptIdentifier, Boolean> mMayRunByAttempt = new HashMap<>();
        private long mBoot = 1;

        private Agent(String name) {
            mName = name;
        }

        private void kill() {
            mBoot++;
            mMayRunByAttempt.clear();
        }
    }

    private final ClaimStore mStore;
    private final List<Agent> mAgents = List.of(new Agent("agent-0"), new Agent("agent-1"));
    private final ArrayDeque<Supplier<SendResult>> mFrozenProcesses = new ArrayDeque<>();
    private final List<AttemptIdentifier> mRunAttempts = new ArrayList<>();
    private final List<AttemptIdentifier> mRefusedAttempts = new ArrayList<>();
    private int mSendCount;
    private Optional<InjectedFault> mInjectedFault = Optional.empty();
    private Optional<AttemptIdentifier> mGrantedAttempt = Optional.empty();

    OrderSimulation(ClaimStore store) {
        mStore = store;
    }

    List<AttemptIdentifier> runAttempts() {
        return mRunAttempts;
    }

    /** Returns the attempts that an agent refused, so that their sender knows they did not run. */
    List<AttemptIdentifier> refusedAttempts() {
        return mRefusedAttempts;
    }

    /** Resumes all frozen processes in the order in which they were frozen. */
    void resumeFrozenProcesses() {
        while (!mFrozenProcesses.isEmpty()) {
            mFrozenProcesses.remove().get();
        }
    }

    /** Sends the request through a new entry; successive sends choose the agents in turn. */
    SendResult send(Optional<InjectedFault> injectedFault) {
        mInjectedFault = injectedFault;
        mGrantedAttempt = Optional.empty();
        Agent agent = mAgents.get(mSendCount % mAgents.size());
        mSendCount++;
        Claim claim = TestCommands.claim(IDEMPOTENCY_KEY, BODY, agent.mName, agent.mBoot);
        return continueFrom(
                Step.BEFORE_CLAIM,
                agent,
                () -> handleClaimReply(applyClaim(claim), claim, agent),
                () -> SendResult.NOT_RUN);
    }

    private ClaimReply applyClaim(Claim claim) {
        return mStore.apply(TestCommands.makeClaim(0, claim)).getClaim();
    }

    private SendResult handleClaimReply(ClaimReply reply, Claim claim, Agent agent) {
        return switch (reply.getResult()) {
            case GRANTED -> dispatch(reply.getAttempt(), claim, agent);
            case BOUND -> submitBoundAttempt(reply);
            case FINISHED ->
                    reply.getOutcome().getUnknown()
                            ? SendResult.MAY_HAVE_RUN
                            : SendResult.COMPLETED;
            default -> throw new AssertionError("unexpected " + reply);
        };
    }

    /** Submits the bound attempt to its agent again, which starts it unless it knows it already. */
    private SendResult submitBoundAttempt(ClaimReply reply) {
        Agent boundAgent = findAgent(reply.getAgent());
        Claim claim = TestCommands.claim(IDEMPOTENCY_KEY, BODY, reply.getAgent(), reply.getBoot());
        return submit(reply.getAttempt(), claim, boundAgent);
    }

    private Agent findAgent(String name) {
        return mAgents.stream().filter(agent -> agent.mName.equals(name)).findFirst().orElseThrow();
    }

    private SendResult dispatch(AttemptIdentifier attempt, Claim claim, Agent agent) {
        mGrantedAttempt = Optional.of(attempt);
        return continueFrom(
                Step.AFTER_CLAIM,
                agent,
                () -> submit(attempt, claim, agent),
                () -> SendResult.NOT_RUN);
    }

    /** Claims a new attempt at the other agent; the refused attempt can no longer run. */
    private SendResult takeOver(AttemptIdentifier refusedAttempt, Agent refusingAgent) {
        mRefusedAttempts.add(refusedAttempt);
        Agent other = mAgents.get(1 - mAgents.indexOf(refusingAgent));
        Claim newClaim = TestCommands.claim(IDEMPOTENCY_KEY, BODY, other.mName, other.mBoot);
        return handleClaimReply(
                applyClaim(TestCommands.takeOverClaim(newClaim, refusedAttempt)), newClaim, other);
    }

    private SendResult submit(AttemptIdentifier attempt, Claim claim, Agent agent) {
        if (claim.getBoot() != agent.mBoot) {
            return SendResult.MAY_HAVE_RUN;
        }
        Optional<Boolean> knownMayRun = Optional.ofNullable(agent.mMayRunByAttempt.get(attempt));
        if (knownMayRun.isPresent()) {
            return knownMayRun.get() ? SendResult.MAY_HAVE_RUN : takeOver(attempt, agent);
        }
        agent.mMayRunByAttempt.put(attempt, true);
        if (isInjected(Step.WHILE_WRITTEN, Fault.AGENT_KILLED)) {
            // The server may have received the whole request before its agent was killed.
            mRunAttempts.add(attempt);
        }
        return continueFrom(
                Step.WHILE_WRITTEN,
                agent,
                () -> run(attempt, claim, agent),
                () -> {
                    run(attempt, claim, agent);
                    return SendResult.MAY_HAVE_RUN;
                });
    }

    private SendResult run(AttemptIdentifier attempt, Claim claim, Agent agent) {
        mRunAttempts.add(attempt);
        return continueFrom(
                Step.AFTER_RUN,
                agent,
                () -> handleServerAnswer(attempt, claim, agent),
                () -> {
                    recordOutcome(attempt, claim, Outcome.newBuilder().setUnknown(true).build());
                    return SendResult.MAY_HAVE_RUN;
                });
    }

    private SendResult handleServerAnswer(AttemptIdentifier attempt, Claim claim, Agent agent) {
        return continueFrom(
                Step.AFTER_ANSWER,
                agent,
                () -> recordAndAnswer(attempt, claim, agent),
                () -> {
                    recordOutcome(attempt, claim, TestCommands.outcome(OK, 1));
                    return recordAndAnswer(attempt, claim, agent);
                });
    }

    private SendResult recordAndAnswer(AttemptIdentifier attempt, Claim claim, Agent agent) {
        recordOutcome(attempt, claim, TestCommands.outcome(OK, 1));
        return continueFrom(
                Step.AFTER_RECORD,
                agent,
                () -> SendResult.COMPLETED,
                () -> SendResult.MAY_HAVE_RUN);
    }

    private void recordOutcome(AttemptIdentifier attempt, Claim claim, Outcome outcome) {
        mStore.apply(TestCommands.finishClaim(0, attempt, claim, outcome));
    }

    private boolean isInjected(Step step, Fault fault) {
        return mInjectedFault.equals(Optional.of(new InjectedFault(step, fault)));
    }

    /**
     * Runs the remainder of a request after a step. A fault injected at that step may end the
     * request, delay its remainder or replace it.
     */
    private SendResult continueFrom(
            Step step,
            Agent agent,
            Supplier<SendResult> remainder,
            Supplier<SendResult> onAnswerLost) {
        if (mInjectedFault.isEmpty() || mInjectedFault.get().step() != step) {
            return remainder.get();
        }
        boolean isDispatched = step.compareTo(Step.WHILE_WRITTEN) >= 0;
        Fault fault = mInjectedFault.get().fault();
        mInjectedFault = Optional.empty();
        return switch (fault) {
            case CONTROL_RESTARTED -> {
                mStore.restart();
                yield remainder.get();
            }
            case AGENT_KILLED -> {
                agent.kill();
                yield isDispatched ? SendResult.MAY_HAVE_RUN : remainder.get();
            }
            case AGENT_LEAVING -> {
                if (mGrantedAttempt.isPresent() && !isDispatched) {
                    agent.mMayRunByAttempt.putIfAbsent(mGrantedAttempt.get(), false);
                }
                yield remainder.get();
            }
            case ENTRY_KILLED -> {
                // The agent still finishes an attempt that was dispatched to it.
                if (isDispatched) {
                    remainder.get();
                }
                yield SendResult.NO_ANSWER;
            }
            case ANSWER_LOST -> onAnswerLost.get();
            case PROCESS_FROZEN -> {
                mFrozenProcesses.add(remainder);
                yield SendResult.NO_ANSWER;
            }
        };
    }
}
