package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;
import org.ibisstand.wire.message.Outcome;

/** Records at control what a claimed attempt came to. */
interface OutcomeRecorder {
    /**
     * Records an outcome; tries again until control has it or the attempt is of no more interest.
     *
     * @param attempt the attempt
     * @param outcome what it came to
     * @return completes once the outcome is recorded, or exceptionally if that is given up
     */
    CompletableFuture<Void> record(AttemptKey attempt, Outcome outcome);
}
