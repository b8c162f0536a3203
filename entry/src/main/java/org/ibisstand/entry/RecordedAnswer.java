package org.ibisstand.entry;

import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.ClaimReply;
import org.ibisstand.wire.message.Outcome;

/** Answers a resend with what the first request came to. */
final class RecordedAnswer {
    private RecordedAnswer() {}

    static void send(ClaimReply reply, AnswerSink sink) {
        Outcome outcome = reply.getOutcome();
        if (outcome.getUnknown()) {
            sink.fail(
                    new Verdict.MayHaveRun(
                            ErrorCode.OUTCOME_UNKNOWN, "the first request got no answer"));
        } else if (outcome.getTruncated()) {
            sink.fail(
                    new Verdict.MayHaveRun(
                            ErrorCode.STREAM_BROKEN,
                            "the first request was answered with status "
                                    + outcome.getStatus()
                                    + "; its body is too large to be kept"));
        } else {
            sink.whole(
                    outcome.getStatus(),
                    outcome.getHeadersList(),
                    outcome.getBody().toByteArray(),
                    new Verdict.Completed());
        }
    }
}
