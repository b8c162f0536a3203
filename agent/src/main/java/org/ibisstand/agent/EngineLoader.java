package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;

/** Tells the engine to serve other weights. */
interface EngineLoader {
    /**
     * Loads weights.
     *
     * @param model the model's name
     * @param weightsVersion the version to serve
     * @param fencingNumber passed on to engines that check it
     * @return completes when the engine serves the version, or exceptionally
     */
    CompletableFuture<Void> load(String model, String weightsVersion, long fencingNumber);
}
