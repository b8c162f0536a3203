package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;

/** The engine beside this agent; only this agent sends load orders to it. */
public interface ManagedEngine {
    /** Requests the current status; fails if the engine does not respond. */
    CompletableFuture<EngineStatus> status();

    /**
     * Sends an order to load weights.
     *
     * @param model the model
     * @param version the version to load
     * @param runHandling what happens to the running requests
     * @param expectedSequence the number of orders that the engine must have accepted before
     * @return whether the engine accepted the order or has the weights already
     */
    CompletableFuture<Boolean> load(
            String model, long version, RunHandling runHandling, long expectedSequence);

    /**
     * Requests changes of the engine's cache; a long poll that ends with the first change or after
     * a timeout of the engine.
     *
     * @param cursor the position returned by the previous call; zero for the first one
     */
    CompletableFuture<CacheEvents> cacheEvents(long cursor);
}
