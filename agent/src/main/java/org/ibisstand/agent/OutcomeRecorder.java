package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;
import org.ibisstand.wire.message.Outcome;

/** Records the outcomes of claimed attempts at control. */
interface OutcomeRecorder {
    /**
     * Records an outcome and retries until control confirms it or the attempt is obsolete.
     *
     * @param attempt the attempt
     * @param outcome the outcome to record
     * @return completes once the outcome is recorded; fails if the retries end without success
     */
    CompletableFuture<Void> record(AttemptKey attempt, Outcome outcome);
}
