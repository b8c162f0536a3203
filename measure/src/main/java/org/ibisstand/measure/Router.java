package org.ibisstand.measure;

/** Takes requests in and sends them to agents. */
interface Router {
    /** Handles one request that has just arrived; the outcome is filled in later. */
    void handle(Outcome outcome);
}
