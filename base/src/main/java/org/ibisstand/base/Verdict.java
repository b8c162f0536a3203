package org.ibisstand.base;

import java.time.Duration;
import java.util.Optional;

/** Says whether one attempt of a request may have run at a backend server. */
public sealed interface Verdict {
    /**
     * The attempt did not run and never will.
     *
     * @param code why it was refused
     * @param message details for the caller
     * @param retryAfter when a resend has a chance, if known
     */
    record NotRun(ErrorCode code, String message, Optional<Duration> retryAfter)
            implements Verdict {
        /** Creates a verdict that gives no time to return. */
        public NotRun(ErrorCode code, String message) {
            this(code, message, Optional.empty());
        }
    }

    /** The attempt ran and its whole answer was received. */
    record Completed() implements Verdict {}

    /**
     * The attempt may have run; its answer is unknown or incomplete.
     *
     * @param code what was lost
     * @param message details for the caller
     */
    record MayHaveRun(ErrorCode code, String message) implements Verdict {}

    /**
     * Returns whether a further attempt is allowed after this verdict.
     *
     * @param idempotent whether the request may run more than once
     */
    default boolean allowsRetry(boolean idempotent) {
        return switch (this) {
            case NotRun notRun -> true;
            case Completed completed -> false;
            case MayHaveRun mayHaveRun -> idempotent;
        };
    }

    /** Returns the value of the verdict header and of the verdict field in error bodies. */
    default String label() {
        return switch (this) {
            case NotRun notRun -> "not-run";
            case Completed completed -> "completed";
            case MayHaveRun mayHaveRun -> "may-have-run";
        };
    }
}
