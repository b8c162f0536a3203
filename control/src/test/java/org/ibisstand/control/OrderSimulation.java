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

/** One keyed request on its way through entries, control, agents and a server that counts runs. */
final class OrderWorld {
    private static final int OK = 200;
    private static final String KEY = "payment";
    private static final String BODY = "body";

    /** Where on its way a request is struck by a fault. */
    enum Step {
        BEFORE_CLAIM,
        AFTER_CLAIM,
        WHILE_WRITTEN,
        AFTER_RUN,
        AFTER_ANSWER,
        AFTER_RECORD
    }

    /** What strikes it; a frozen process goes on only after the caller has sent again. */
    enum Fault {
        ENTRY_KILLED,
        AGENT_KILLED,
        CONTROL_RESTARTED,
        AGENT_LEAVING,
        ANSWER_LOST,
        PROCESS_FROZEN
    }

    /** A fault at a step. */
    record Trouble(Step step, Fault fault) {}

    /** What the caller learns from one send. */
    enum Told {
        NOTHING,
        NOT_RUN,
        MAY_HAVE_RUN,
        COMPLETED
    }

    /** Answers claims and outcomes as control does, or naively. */
    interface ClaimStore {
        CommandResult apply(Command command);

        void restart();
    }

    /** What an agent knows about the attempts of its present boot. */
    private static final class Agent {
        private final String mName;
        private final Map<AttemptIdentifier, Boolean> mMayRun = new HashMap<>();
        private long mBoot = 1;

        private Agent(String name) {
            mName = name;
        }

        private void kill() {
            mBoot++;
            mMayRun.clear();
        }
    }

    private final ClaimStore mStore;
    private final List<Agent> mAgents = List.of(new Agent("agent-0"), new Agent("agent-1"));
    private final ArrayDeque<Supplier<Told>> mFrozen = new ArrayDeque<>();
    private final List<AttemptIdentifier> mRuns = new ArrayList<>();
    private final List<AttemptIdentifier> mToldNotRun = new ArrayList<>();
    private int mSends;
    private Optional<Trouble> mTrouble = Optional.empty();
    private Optional<AttemptIdentifier> mNextAttempt = Optional.empty();

    OrderWorld(ClaimStore store) {
        mStore = store;
    }

    List<AttemptIdentifier> runs() {
        return mRuns;
    }

    /** Attempts whose sender was told that they did not run. */
    List<AttemptIdentifier> toldNotRun() {
        return mToldNotRun;
    }

    /** Lets all frozen processes go on. */
    void thaw() {
        while (!mFrozen.isEmpty()) {
            mFrozen.remove().get();
        }
    }

    /** Sends the request through a new entry, which picks the next agent. */
    Told send(Optional<Trouble> trouble) {
        mTrouble = trouble;
        mNextAttempt = Optional.empty();
        Agent agent = mAgents.get(mSends % mAgents.size());
        mSends++;
        Claim claim = Commands.claim(KEY, BODY, agent.mName, agent.mBoot);
        return pass(
                Step.BEFORE_CLAIM,
                agent,
                () -> afterClaim(apply(claim), claim, agent),
                () -> Told.NOT_RUN);
    }

    private ClaimReply apply(Claim claim) {
        return mStore.apply(Commands.command(0, claim)).getClaim();
    }

    private Told afterClaim(ClaimReply reply, Claim claim, Agent agent) {
        return switch (reply.getResult()) {
            case GRANTED -> dispatch(reply.getAttempt(), claim, agent);
            case BOUND -> settle(reply);
            case FINISHED -> reply.getOutcome().getUnknown() ? Told.MAY_HAVE_RUN : Told.COMPLETED;
            default -> throw new AssertionError("unexpected " + reply);
        };
    }

    /** Submits the bound attempt to its agent once more, which joins or starts it. */
    private Told settle(ClaimReply bound) {
        Agent holder = agent(bound.getAgent());
        Claim claim = Commands.claim(KEY, BODY, bound.getAgent(), bound.getBoot());
        return receive(bound.getAttempt(), claim, holder);
    }

    private Agent agent(String name) {
        return mAgents.stream().filter(one -> one.mName.equals(name)).findFirst().orElseThrow();
    }

    private Told dispatch(AttemptIdentifier attempt, Claim claim, Agent agent) {
        mNextAttempt = Optional.of(attempt);
        return pass(
                Step.AFTER_CLAIM, agent, () -> receive(attempt, claim, agent), () -> Told.NOT_RUN);
    }

    /** An agent that refuses an attempt has given it up, so that another one may take over. */
    private Told takeOver(AttemptIdentifier refused, Agent refusing) {
        mToldNotRun.add(refused);
        Agent other = mAgents.get(1 - mAgents.indexOf(refusing));
        Claim next = Commands.claim(KEY, BODY, other.mName, other.mBoot);
        return afterClaim(apply(Commands.takeOver(next, refused)), next, other);
    }

    private Told receive(AttemptIdentifier attempt, Claim claim, Agent agent) {
        if (claim.getBoot() != agent.mBoot) {
            return Told.MAY_HAVE_RUN;
        }
        Optional<Boolean> mayRun = Optional.ofNullable(agent.mMayRun.get(attempt));
        if (mayRun.isPresent()) {
            return mayRun.get() ? Told.MAY_HAVE_RUN : takeOver(attempt, agent);
        }
        agent.mMayRun.put(attempt, true);
        if (isStruck(Step.WHILE_WRITTEN, Fault.AGENT_KILLED)) {
            // The server may have received all of the request before its agent died.
            mRuns.add(attempt);
        }
        return pass(
                Step.WHILE_WRITTEN,
                agent,
                () -> run(attempt, claim, agent),
                () -> {
                    run(attempt, claim, agent);
                    return Told.MAY_HAVE_RUN;
                });
    }

    private Told run(AttemptIdentifier attempt, Claim claim, Agent agent) {
        mRuns.add(attempt);
        return pass(
                Step.AFTER_RUN,
                agent,
                () -> answered(attempt, claim, agent),
                () -> {
                    record(attempt, claim, Outcome.newBuilder().setUnknown(true).build());
                    return Told.MAY_HAVE_RUN;
                });
    }

    private Told answered(AttemptIdentifier attempt, Claim claim, Agent agent) {
        return pass(
                Step.AFTER_ANSWER,
                agent,
                () -> recorded(attempt, claim, agent),
                () -> {
                    record(attempt, claim, Commands.answer(OK, 1));
                    return recorded(attempt, claim, agent);
                });
    }

    private Told recorded(AttemptIdentifier attempt, Claim claim, Agent agent) {
        record(attempt, claim, Commands.answer(OK, 1));
        return pass(Step.AFTER_RECORD, agent, () -> Told.COMPLETED, () -> Told.MAY_HAVE_RUN);
    }

    private void record(AttemptIdentifier attempt, Claim bound, Outcome outcome) {
        mStore.apply(Commands.finish(0, attempt, bound, outcome));
    }

    private boolean isStruck(Step step, Fault fault) {
        return mTrouble.equals(Optional.of(new Trouble(step, fault)));
    }

    /** Goes on from a step, unless the trouble is there and ends the way or delays the rest. */
    private Told pass(Step step, Agent agent, Supplier<Told> rest, Supplier<Told> answerLost) {
        if (mTrouble.isEmpty() || mTrouble.get().step() != step) {
            return rest.get();
        }
        boolean dispatched = step.compareTo(Step.WHILE_WRITTEN) >= 0;
        Fault fault = mTrouble.get().fault();
        mTrouble = Optional.empty();
        return switch (fault) {
            case CONTROL_RESTARTED -> {
                mStore.restart();
                yield rest.get();
            }
            case AGENT_KILLED -> {
                agent.kill();
                yield dispatched ? Told.MAY_HAVE_RUN : rest.get();
            }
            case AGENT_LEAVING -> {
                if (mNextAttempt.isPresent() && !dispatched) {
                    agent.mMayRun.putIfAbsent(mNextAttempt.get(), false);
                }
                yield rest.get();
            }
            case ENTRY_KILLED -> {
                // The agent goes on with what it was given.
                if (dispatched) {
                    rest.get();
                }
                yield Told.NOTHING;
            }
            case ANSWER_LOST -> answerLost.get();
            case PROCESS_FROZEN -> {
                mFrozen.add(rest);
                yield Told.NOTHING;
            }
        };
    }
}
