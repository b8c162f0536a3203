package org.ibisstand.wire;

import java.time.Duration;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.Failure;
import org.ibisstand.wire.message.Frame;

/** Converts between failures on the wire and the types of the base module. */
public final class Failures {
    private Failures() {}

    /**
     * Returns the exception that a failure of a peer stands for.
     *
     * @param failure as received; an unknown code becomes INTERNAL
     */
    public static IbisstandException exceptionOf(Failure failure) {
        ErrorCode code = codeOf(failure);
        if (failure.getLeaderAddress().isEmpty()) {
            return new IbisstandException(code, failure.getMessage());
        }
        return new IbisstandException(
                code, failure.getMessage(), new LeaderHint(failure.getLeaderAddress()));
    }

    /**
     * Returns the verdict that a failure of a peer stands for.
     *
     * @param failure as received; an unknown code becomes INTERNAL
     */
    public static Verdict verdictOf(Failure failure) {
        ErrorCode code = codeOf(failure);
        if (failure.getMayHaveRun()) {
            return new Verdict.MayHaveRun(code, failure.getMessage());
        }
        return new Verdict.NotRun(code, failure.getMessage(), retryAfterOf(failure));
    }

    /**
     * Returns a frame that reports a request as not run.
     *
     * @param verdict why and when to return
     */
    public static Frame.Builder frameOf(Verdict.NotRun verdict) {
        long retryAfter = verdict.retryAfter().map(Duration::toMillis).orElse(0L);
        return frame(
                Failure.newBuilder()
                        .setCode(verdict.code().name())
                        .setMessage(verdict.message())
                        .setRetryAfterMilliseconds(retryAfter));
    }

    /**
     * Returns a frame that reports a request as perhaps run.
     *
     * @param verdict what was lost
     */
    public static Frame.Builder frameOf(Verdict.MayHaveRun verdict) {
        return frame(
                Failure.newBuilder()
                        .setCode(verdict.code().name())
                        .setMessage(verdict.message())
                        .setMayHaveRun(true));
    }

    /**
     * Returns a frame that refuses a request which did not run.
     *
     * @param failure why
     */
    public static Frame.Builder frameOf(IbisstandException failure) {
        return frameOf(new Verdict.NotRun(failure.code(), failure.getMessage()));
    }

    /**
     * Returns a frame by which a member of control refuses what only the leader may do.
     *
     * @param message details for the log of the caller
     * @param leaderAddress host and port of the leader, if known
     */
    public static Frame.Builder notLeader(String message, Optional<String> leaderAddress) {
        return frame(
                Failure.newBuilder()
                        .setCode(ErrorCode.NOT_LEADER.name())
                        .setMessage(message)
                        .setLeaderAddress(leaderAddress.orElse("")));
    }

    /**
     * Returns the address of the leader that a member of control named.
     *
     * @param refusal the exception of a failure with NOT_LEADER
     */
    public static Optional<String> leaderIn(IbisstandException refusal) {
        return refusal.getCause() instanceof LeaderHint hint
                ? Optional.of(hint.address())
                : Optional.empty();
    }

    private static Frame.Builder frame(Failure.Builder failure) {
        return Frame.newBuilder().setFailure(failure);
    }

    private static ErrorCode codeOf(Failure failure) {
        try {
            return ErrorCode.valueOf(failure.getCode());
        } catch (IllegalArgumentException e) {
            return ErrorCode.INTERNAL;
        }
    }

    private static Optional<Duration> retryAfterOf(Failure failure) {
        long milliseconds = failure.getRetryAfterMilliseconds();
        return milliseconds > 0 ? Optional.of(Duration.ofMillis(milliseconds)) : Optional.empty();
    }
}
