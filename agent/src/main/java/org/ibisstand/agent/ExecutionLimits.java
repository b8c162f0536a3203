package org.ibisstand.agent;

import java.time.Duration;
import org.ibisstand.wire.message.Submit;

/**
 * Limits for the execution of requests at one agent.
 *
 * @param maximumRecordedResponseBytes the largest response body that is recorded for resends
 * @param streamBufferBytes how many bytes of a response may be buffered for its reader
 * @param resumeWindow how long a stream without a connection may be resumed
 * @param modelResponseTimeout the maximum duration of a complete model response
 */
record ExecutionLimits(
        int maximumRecordedResponseBytes,
        int streamBufferBytes,
        Duration resumeWindow,
        Duration modelResponseTimeout) {
    /** Returns the maximum time for the backend server's complete response. */
    Duration responseTimeout(Submit submit) {
        if (submit.getModel().isEmpty()) {
            return Duration.ofMillis(Math.max(1, submit.getDeadlineMilliseconds()));
        }
        return modelResponseTimeout;
    }
}
