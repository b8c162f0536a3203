package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;

/** Orders the engine to load weights. */
interface EngineLoader {
    /**
     * Loads weights.
     *
     * @param model the model's name
     * @param weightsVersion the version to serve
     * @param fencingNumber increases with every order; engines may reject lower numbers
     * @return completes with true when the engine serves the version and with false if it refused
     *     the order and keeps its weights; fails if it may have either version
     */
    CompletableFuture<Boolean> load(String model, String weightsVersion, long fencingNumber);
}
