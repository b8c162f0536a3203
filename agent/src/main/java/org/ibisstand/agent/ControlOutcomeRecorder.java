package org.ibisstand.agent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.wire.ControlClient;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/** Records outcomes at control, over the agent's connections to its members. */
final class ControlOutcomeRecorder implements OutcomeRecorder {
    private static final Duration RECORD_TIMEOUT = Duration.ofMinutes(5);

    private final ControlClient mControl;
    private final AgentIdentifier mAgent;
    private final BootIdentifier mBoot;

    ControlOutcomeRecorder(ControlClient control, AgentIdentifier agent, BootIdentifier boot) {
        mControl = control;
        mAgent = agent;
        mBoot = boot;
    }

    @Override
    public CompletableFuture<Void> record(AttemptKey attempt, Outcome outcome) {
        RecordOutcome record =
                RecordOutcome.newBuilder()
                        .setAttempt(attempt.toMessage())
                        .setOutcome(outcome)
                        .setAgent(mAgent.value())
                        .setBoot(mBoot.value())
                        .build();
        Frame frame = Frame.newBuilder().setRecordOutcome(record).build();
        return mControl.call(frame, RECORD_TIMEOUT).thenAccept(reply -> {});
    }
}
