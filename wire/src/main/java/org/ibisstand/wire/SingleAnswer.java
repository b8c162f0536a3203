package org.ibisstand.wire;

import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.Frame;

/** Completes a future with the first answer; a Failure frame fails it. */
final class SingleAnswer implements AnswerHandler {
    private final CompletableFuture<Frame> mAnswer;

    SingleAnswer(CompletableFuture<Frame> answer) {
        mAnswer = answer;
    }

    @Override
    public void answered(Frame frame) {
        if (frame.hasFailure()) {
            mAnswer.completeExceptionally(Failures.exceptionOf(frame.getFailure()));
        } else {
            mAnswer.complete(frame);
        }
    }

    @Override
    public void lost(IbisstandException cause) {
        mAnswer.completeExceptionally(cause);
    }
}
