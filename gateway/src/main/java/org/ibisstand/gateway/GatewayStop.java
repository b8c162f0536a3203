package org.ibisstand.gateway;

import io.netty.channel.Channel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;

/**
 * Stops a gateway step by step: it takes connections for a while, finishes its requests, and
 * answers those that are left when the stop time ends. Confined to the gateway's event loop.
 */
final class GatewayStop {
    /**
     * Connections are accepted for a seventh of the stop time; the rest is for the longest
     * responses. Callers whose connection is refused retry elsewhere at once, whereas a response
     * that is cut off is lost.
     */
    private static final long ACCEPT_TIME_DIVISOR = 7;

    /** Interval of checks for the end of the last connection; short against stops of seconds. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 250;

    /** Time to write short answers; within the margin between the stop time and the kill. */
    private static final long LAST_ANSWERS_MILLISECONDS = 50;

    private final GatewayContext mGateway;
    private final Channel mServerChannel;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();

    GatewayStop(GatewayContext gateway, Channel serverChannel) {
        mGateway = gateway;
        mServerChannel = serverChannel;
    }

    /** Begins the stop; completes once no connection is left, or after the stop time. */
    CompletableFuture<Void> start() {
        long stopMilliseconds = mGateway.settings().stopMilliseconds();
        mGateway.loop().execute(LoggedTask.of("begin_stop", this::begin));
        scheduleAfterReading("stop_accepting", this::stopAccepting, acceptingMilliseconds());
        scheduleAfterReading("end_requests", this::endRequests, stopMilliseconds);
        schedule("end_stop", this::end, stopMilliseconds + LAST_ANSWERS_MILLISECONDS);
        mGateway.loop()
                .scheduleWithFixedDelay(
                        this::completeIfIdle,
                        acceptingMilliseconds() + CHECK_INTERVAL_MILLISECONDS,
                        CHECK_INTERVAL_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
        return mDone;
    }

    private void schedule(String name, Runnable task, long delayMilliseconds) {
        mGateway.loop()
                .schedule(LoggedTask.of(name, task), delayMilliseconds, TimeUnit.MILLISECONDS);
    }

    /**
     * Lets the event loop read once more what arrived while it was busy. Tasks that are due run
     * before that, so the task is scheduled anew.
     */
    private void scheduleAfterReading(String name, Runnable task, long delayMilliseconds) {
        schedule(name, () -> schedule(name, task, 1), delayMilliseconds);
    }

    /** Runs a step for each caller; one that fails keeps no other from it. */
    private void forEachCaller(String name, Consumer<CallerConnection> step) {
        List.copyOf(mGateway.callers())
                .forEach(caller -> LoggedTask.of(name, () -> step.accept(caller)).run());
    }

    private void begin() {
        mGateway.stopRefusals().setCallers(mGateway.callers().size());
        countCallers(LogLine.info("gateway_drains"))
                .with("milliseconds", mGateway.settings().stopMilliseconds())
                .with("accepting_ms", acceptingMilliseconds())
                .write();
        forEachCaller("log_request", CallerConnection::logInProgress);
    }

    private long acceptingMilliseconds() {
        return mGateway.settings().stopMilliseconds() / ACCEPT_TIME_DIVISOR;
    }

    /** Requests that arrive from now on might not finish before the stop time ends. */
    private void stopAccepting() {
        mServerChannel.close();
        forEachCaller("close_when_idle", CallerConnection::closeWhenIdle);
    }

    /** Answers the requests that are still in progress; the answers have a moment to be sent. */
    private void endRequests() {
        if (!mGateway.callers().isEmpty()) {
            countCallers(LogLine.warning("gateway_stops"))
                    .with("after_ms", mGateway.drainingMilliseconds())
                    .write();
        }
        forEachCaller("end_request", CallerConnection::gatewayStops);
    }

    /** Names the responses that their callers do not have whole, and completes. */
    private void end() {
        forEachCaller("log_request", CallerConnection::logInProgress);
        mDone.complete(null);
    }

    private void completeIfIdle() {
        if (mGateway.callers().isEmpty()) {
            mDone.complete(null);
        }
    }

    private LogLine countCallers(LogLine line) {
        int inProgress = 0;
        int arriving = 0;
        for (CallerConnection caller : mGateway.callers()) {
            inProgress += caller.requestsInProgress();
            arriving += caller.isRequestArriving() ? 1 : 0;
        }
        return line.with("connections", mGateway.callers().size())
                .with("requests", inProgress)
                .with("arriving", arriving);
    }
}
