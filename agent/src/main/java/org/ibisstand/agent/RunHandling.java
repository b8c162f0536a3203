package org.ibisstand.agent;

/**
 * What an engine does with its running requests before it loads weights. No run continues under
 * other weights: if it were preempted, the engine would recompute its prompt with them and cache it
 * under the salt of the weights that it began with, where other engines look for it.
 */
public enum RunHandling {
    /** Runs finish first; requests that have not started are refused until the load is complete. */
    FINISH_FIRST,

    /** The streams of all runs are reset. */
    RESET
}
