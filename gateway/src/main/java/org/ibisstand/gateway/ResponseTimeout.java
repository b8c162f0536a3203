package org.ibisstand.gateway;

import org.ibisstand.settings.Route;

/**
 * Retries an idempotent call if the response has not begun after the route's latency objective or
 * half of the remaining time, whichever is shorter. Connections can go silent without a reset. The
 * first attempt is cancelled.
 */
final class ResponseTimeout {
    private ResponseTimeout() {}

    /** Schedules the time-out of an attempt that was just sent. */
    static void schedule(GatewayContext gateway, RequestForwarder forwarder, Attempt attempt) {
        Route route = forwarder.route();
        if (route.repetition() != Route.Repetition.IDEMPOTENT) {
            return;
        }
        gateway.schedule(
                "expire_attempt",
                () -> {
                    if (forwarder.isCurrent(attempt) && attempt.awaitsHead()) {
                        forwarder.attemptFailed(attempt, "silent", true);
                    }
                },
                Math.min(
                        route.objectiveMilliseconds(),
                        forwarder.admitted().remainingMilliseconds() / 2));
    }
}
