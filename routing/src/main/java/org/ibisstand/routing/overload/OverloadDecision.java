package org.ibisstand.routing.overload;

import java.time.Duration;

/** What happens to a request that has not been sent to an engine. */
public sealed interface OverloadDecision {
    /** The request goes to an engine now. */
    record Run() implements OverloadDecision {}

    /** The request stays in the queue. */
    record Wait() implements OverloadDecision {}

    /**
     * The request has not run and never will.
     *
     * @param retryAfter when the caller should retry
     * @param reason why the request is rejected
     */
    record Reject(Duration retryAfter, Reason reason) implements OverloadDecision {}

    /** Why a request is rejected. */
    enum Reason {
        /** Its response would begin after its deadline. */
        TOO_LATE,
        /** The queue is full and the request is the last in its order. */
        QUEUE_FULL
    }
}
