package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;

/** Speaks to the engine beside this agent, which is the only one that gives it orders. */
public interface ManagedEngine {
    /** Asks for the present status; fails if the engine does not answer. */
    CompletableFuture<EngineStatus> status();

    /**
     * Orders the engine to load weights.
     *
     * @param model the model
     * @param version the version to load
     * @param waits whether running requests end first; else they go on with the new weights
     * @param expectedSequence the number of accepted orders on which this one builds
     * @return whether the engine accepted the order or holds the weights already
     */
    CompletableFuture<Boolean> load(
            String model, long version, boolean waits, long expectedSequence);

    /**
     * Asks what changed in the engine's cache; answered once something has, or after a while.
     *
     * @param since as the last answer said; zero at first
     */
    CompletableFuture<CacheEvents> cacheEvents(long since);
}
