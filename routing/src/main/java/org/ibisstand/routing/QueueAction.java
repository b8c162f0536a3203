package org.ibisstand.routing;

import org.ibisstand.base.Verdict;

/** An action for the agent to perform on a work item; every work item gets exactly one. */
public sealed interface QueueAction {
    /** Returns the identifier of the work. */
    long work();

    /**
     * Send the work to the backend server.
     *
     * @param work the identifier of the work
     * @param enginePriority the priority to pass to the engine; lower is more urgent
     * @param cachedPieces the leading pieces that the engine is predicted to have in its cache
     */
    record Dispatch(long work, int enginePriority, int cachedPieces) implements QueueAction {}

    /**
     * Respond that the work did not run and never will.
     *
     * @param work the identifier of the work
     * @param verdict the reason, and the time after which to retry if any
     */
    record Refuse(long work, Verdict.NotRun verdict) implements QueueAction {}
}
