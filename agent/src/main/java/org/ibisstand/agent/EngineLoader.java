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
     * @return completes when the engine serves the version; fails if the load fails
     */
    CompletableFuture<Void> load(String model, String weightsVersion, long fencingNumber);
}
