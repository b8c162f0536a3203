package org.ibisstand.agent;

import java.time.Duration;
import org.ibisstand.wire.message.Submit;

/**
 * Bounds of one agent's work.
 *
 * @param maximumRecordedBytes the largest answer that is kept for resends
 * @param streamBufferBytes how much of an answer may wait for its reader
 * @param resumeWindow how long a stream without a connection is kept
 * @param longestAnswer how long a model's answer may take
 */
record WorkloadLimits(
        int maximumRecordedBytes,
        int streamBufferBytes,
        Duration resumeWindow,
        Duration longestAnswer) {
    /** Returns how long the backend server may take for a whole answer. */
    Duration answerTimeout(Submit submit) {
        if (submit.getModel().isEmpty()) {
            return Duration.ofMillis(Math.max(1, submit.getDeadlineMilliseconds()));
        }
        return longestAnswer;
    }
}
