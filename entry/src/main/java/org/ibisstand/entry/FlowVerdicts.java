package org.ibisstand.entry;

import java.util.concurrent.CompletionException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;

/** Says what failures on the way of a call mean for its caller. */
final class FlowVerdicts {
    private FlowVerdicts() {}

    /** Returns the verdict of a call that control did not claim; nothing was submitted for it. */
    static Verdict unclaimed(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        ErrorCode code =
                cause instanceof IbisstandException known ? known.code() : ErrorCode.INTERNAL;
        return new Verdict.NotRun(
                code, "the request could not be claimed; resend it with the same key");
    }

    /** Returns the verdict of an answer that ended after a part of it was passed on. */
    static Verdict cut(Verdict verdict) {
        return switch (verdict) {
            case Verdict.NotRun notRun -> new Verdict.MayHaveRun(notRun.code(), notRun.message());
            case Verdict.MayHaveRun mayHaveRun -> mayHaveRun;
            case Verdict.Completed completed ->
                    new Verdict.MayHaveRun(ErrorCode.STREAM_BROKEN, "the answer is not complete");
        };
    }
}
