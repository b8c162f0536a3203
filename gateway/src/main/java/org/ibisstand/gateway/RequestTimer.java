package org.ibisstand.gateway;

import io.netty.util.concurrent.Future;
import java.util.Optional;

/** The next time-out of one request. */
final class RequestTimer {
    private final GatewayContext mGateway;
    private final Runnable mOnFailure;
    private Optional<Future<?>> mTimeout = Optional.empty();

    /**
     * Creates a timer that is not set.
     *
     * @param gateway schedules the time-out
     * @param onFailure ends the request if a task of it fails, since no other time-out would
     */
    RequestTimer(GatewayContext gateway, Runnable onFailure) {
        mGateway = gateway;
        mOnFailure = onFailure;
    }

    /** Schedules the next time-out of the request. */
    void schedule(String name, Runnable task, long milliseconds) {
        mTimeout =
                Optional.of(
                        mGateway.schedule(name, () -> runOrFail(task), Math.max(0, milliseconds)));
    }

    void cancel() {
        mTimeout.ifPresent(timeout -> timeout.cancel(false));
    }

    /** Runs a task outside of the caller's events; the request ends if it fails. */
    void runOrFail(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            mOnFailure.run();
            throw e;
        }
    }
}
