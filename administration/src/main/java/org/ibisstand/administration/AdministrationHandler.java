package org.ibisstand.administration;

import java.util.concurrent.CompletableFuture;

/** Answers the requests of one route. */
@FunctionalInterface
public interface AdministrationHandler {
    /**
     * Starts to answer; runs on a traffic thread and must not block it.
     *
     * @param request what the operator asks
     * @return the answer, or an IbisstandException whose code is reported
     */
    CompletableFuture<AdministrationResponse> handle(AdministrationRequest request);
}
