package org.ibisstand.measure;

import org.ibisstand.base.PrefixChain;

/** A backend server as the agent sees it. */
interface Backend {
    /** What the agent is told about one call. */
    interface Listener {
        void onFirstToken();

        void onToken();

        /** The call ended; tells how many leading pieces were found in the cache. */
        void onFinished(int cachedPieces);
    }

    /** Starts a call; lower priorities are more urgent. */
    void submit(long identifier, PrefixChain chain, int priority, int tokens, Listener listener);

    /** Ends a call without a further word to its listener. */
    void cancel(long identifier);

    /** Sets how many times slower than normal the server runs. */
    void slowDown(double factor);

    /** Returns how many times slower than normal the server runs. */
    double slowness();
}
