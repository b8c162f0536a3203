package org.ibisstand.gateway;

/** What a load of other weights does to the runs of its engine. */
enum LoadMode {
    /** Runs continue under the new weights. */
    RUNS_CONTINUE,

    /** The streams of the runs are reset, which ends the runs. */
    RUNS_RESET,

    /** New requests are refused until the runs have ended; the load begins then. */
    RUNS_FINISH_FIRST
}
