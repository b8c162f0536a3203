package org.ibisstand.routing.overload;

import java.util.OptionalLong;

/**
 * What is known at one moment about the engines that may serve a request.
 *
 * @param predictedMilliseconds the predicted time to the first event at the best engine
 * @param room how many requests like this the engines have free slots and memory for
 * @param reportAgeMilliseconds the age of the newest report of an engine about its load; empty
 *     without a recent one, and then the prediction covers only the requests of this gateway
 */
public record EngineForecast(
        double predictedMilliseconds, int room, OptionalLong reportAgeMilliseconds) {
    /** Returns whether an engine reported its load recently. */
    public boolean hasReport() {
        return reportAgeMilliseconds.isPresent();
    }
}
