package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.Executor;
import org.ibisstand.wire.FrameHandler;
import org.ibisstand.wire.WireConnection;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.PartAnswer;
import org.ibisstand.wire.message.PartQuestion;

/** Answers queries of entries about the cached prompt parts and the load of the engine. */
final class PartQuestionHandler implements FrameHandler {
    private final PartIndexUpdater mPartUpdater;
    private final WeightsUpdater mWeightsUpdater;
    private final Executor mControlThread;

    PartQuestionHandler(
            PartIndexUpdater partUpdater, WeightsUpdater weightsUpdater, Executor controlThread) {
        mPartUpdater = partUpdater;
        mWeightsUpdater = weightsUpdater;
        mControlThread = controlThread;
    }

    @Override
    public void received(WireConnection connection, Frame frame) {
        if (frame.hasPartQuestion()) {
            mControlThread.execute(
                    () -> respond(connection, frame.getCorrelation(), frame.getPartQuestion()));
        }
    }

    private void respond(WireConnection connection, long correlation, PartQuestion question) {
        PartAnswer.Builder response =
                PartAnswer.newBuilder()
                        .setHeldParts(
                                mPartUpdater.cachedParts(
                                        question.getSalt(), question.getPartsList()));
        Optional<EngineStatus> status = mWeightsUpdater.status();
        status.ifPresent(
                engineStatus ->
                        response.setRunning(engineStatus.running())
                                .setWaiting(engineStatus.waiting())
                                .setUsedTokens(engineStatus.usedTokens()));
        connection.send(correlation, Frame.newBuilder().setPartAnswer(response));
    }
}
