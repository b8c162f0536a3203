package org.ibisstand.routing;

import org.ibisstand.base.Verdict;

/** What the agent must do with one piece of queued work; each work gets exactly one. */
public sealed interface QueueAction {
    /** Returns the identifier of the work. */
    long work();

    /**
     * Send the work to the backend server now.
     *
     * @param work the identifier of the work
     * @param enginePriority the priority to give to the engine; lower is more urgent
     * @param heldPieces the leading pieces that the engine is believed to hold
     */
    record Dispatch(long work, int enginePriority, int heldPieces) implements QueueAction {}

    /**
     * Answer that the work did not run and never will.
     *
     * @param work the identifier of the work
     * @param verdict the reason and the time to return
     */
    record Refuse(long work, Verdict.NotRun verdict) implements QueueAction {}
}
