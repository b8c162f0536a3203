package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.PartAnswer;
import org.ibisstand.wire.message.PartQuestion;

/** Answers what entries ask about the engine beside this agent. */
final class PartAnswers implements FrameHandler {
    private final PartFollower mParts;
    private final WeightsKeeper mKeeper;
    private final Executor mControlThread;

    PartAnswers(PartFollower parts, WeightsKeeper keeper, Executor controlThread) {
        mParts = parts;
        mKeeper = keeper;
        mControlThread = controlThread;
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        if (frame.hasPartQuestion()) {
            mControlThread.execute(
                    () -> answer(connection, frame.getCorrelation(), frame.getPartQuestion()));
        }
    }

    private void answer(WireConnection connection, long correlation, PartQuestion question) {
        PartAnswer.Builder answer =
                PartAnswer.newBuilder()
                        .setHeldParts(mParts.held(question.getSalt(), question.getPartsList()));
        Optional<EngineStatus> status = mKeeper.status();
        status.ifPresent(
                known ->
                        answer.setRunning(known.running())
                                .setWaiting(known.waiting())
                                .setUsedTokens(known.usedTokens()));
        connection.send(correlation, Frame.newBuilder().setPartAnswer(answer));
    }
}
