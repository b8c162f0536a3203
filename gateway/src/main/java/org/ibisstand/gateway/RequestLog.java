package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.ibisstand.base.LogLine;
import org.ibisstand.gateway.limits.QuotaDecision;
import org.ibisstand.gateway.limits.QuotaPermit;

/** Writes the log lines of one request, one for each decision; see docs/OPERATIONS.md. */
final class RequestLog {
    private static final String DRAINING_KEY = "draining_ms";

    private final GatewayContext mGateway;
    private final CallerRequest mRequest;
    private Optional<Failure> mLastFailure = Optional.empty();
    private Optional<RetryPermit.Obstacle> mLastObstacle = Optional.empty();

    RequestLog(GatewayContext gateway, CallerRequest request) {
        mGateway = gateway;
        mRequest = request;
    }

    /**
     * The result of a request.
     *
     * @param route the name of its route; empty if it has none
     * @param status the HTTP status that the caller got; zero if its response was aborted
     * @param outcome the reason that decided the result
     * @param server the server that responded; empty if none did
     * @param attempts the number of servers that may have executed the request
     * @param mayHaveExecuted whether any server may have executed it
     * @param connection the connection that the response came on; empty if no server responded
     */
    record Result(
            String route,
            int status,
            String outcome,
            String server,
            int attempts,
            boolean mayHaveExecuted,
            Optional<ConnectionUse> connection) {
        /** Returns the result of a request that one attempt answered, or none. */
        static Result of(
                Optional<AdmittedRequest> admitted,
                int status,
                String outcome,
                Optional<Attempt> answered,
                int attempts,
                boolean mayHaveExecuted) {
            return new Result(
                    admitted.map(request -> request.route().name()).orElse(""),
                    status,
                    outcome,
                    answered.map(attempt -> attempt.server().name()).orElse(""),
                    attempts,
                    mayHaveExecuted || status == HttpResponseStatus.OK.code(),
                    answered.flatMap(Attempt::connectionUse));
        }
    }

    /**
     * The last attempt that may have run and brought no complete response.
     *
     * @param server the server that it was sent to
     * @param reason why it failed
     * @param endedBy which side ended it
     */
    private record Failure(String server, String reason, String endedBy) {}

    /**
     * Returns whether a line reports the placement or success of a request. While the gateway
     * stops, none is routine: the process may be ended by force before it writes another one.
     */
    static boolean isRoutine(String line) {
        boolean isOrdinary =
                line.contains("event=placed")
                        || line.contains("outcome=answered")
                        || line.contains("outcome=streamed");
        return isOrdinary && !line.contains(DRAINING_KEY + "=");
    }

    long elapsedMilliseconds() {
        return mGateway.now() - mRequest.arrivedMilliseconds();
    }

    void event(String event, String key, Object value) {
        line(event).with(key, value).write();
    }

    /** Logs that the request is over the quota of its team. */
    void quotaRefused(QuotaPermit permit, QuotaDecision.Refused refused, String retryAfter) {
        line("quota_refused")
                .team(permit.team())
                .with("units", permit.units())
                .with("level", refused.level())
                .with("level_age_ms", refused.ageMilliseconds())
                .with("retry_after", retryAfter)
                .write();
    }

    /** Logs that the connection of the caller closed before the request ended. */
    void callerLeft(String reason) {
        line("caller_left").with("reason", reason).with("after_ms", elapsedMilliseconds()).write();
    }

    /** Logs a request that was read whole and never passed on, as its connection closed first. */
    void dropped(String reason) {
        line("request_dropped")
                .with("reason", reason)
                .with("after_ms", elapsedMilliseconds())
                .write();
    }

    /**
     * Logs a request that is in progress as the gateway stops.
     *
     * @param attempt the attempt that waits for a server, if one does
     * @param attempts how many servers the request was sent to
     * @param isDone whether only the rest of the response is on its way to the caller
     */
    void inProgress(Optional<Attempt> attempt, int attempts, boolean isDone) {
        LogLine line =
                line("request_in_progress")
                        .with("server", attempt.map(one -> one.server().name()).orElse(""))
                        .with("attempts", attempts)
                        .with("sending", isDone)
                        .with("after_ms", elapsedMilliseconds());
        attempt.flatMap(Attempt::connectionUse).ifPresent(use -> use.addTo(line));
        line.write();
    }

    /** Logs an event between the request and one server. */
    void serverEvent(String event, BackendServer server, String key, Object value) {
        serverLine(event, server, key, value).write();
    }

    /** Logs how an attempt ended that is not the last one, with the connection it used. */
    void attemptEvent(String event, Attempt attempt, String key, Object value) {
        LogLine line = serverLine(event, attempt.server(), key, value);
        attempt.connectionUse().ifPresent(use -> use.addTo(line));
        line.write();
    }

    /** Logs an attempt that may have run, and remembers it for the result of the request. */
    void attemptFailed(Attempt attempt, String reason, boolean isCancelled) {
        String endedBy = isCancelled ? "gateway" : "server";
        mLastFailure = Optional.of(new Failure(attempt.server().name(), reason, endedBy));
        LogLine line =
                serverLine("attempt_failed", attempt.server(), "reason", reason)
                        .with("ended_by", endedBy);
        attempt.connectionUse().ifPresent(use -> use.addTo(line));
        line.write();
    }

    /** Logs why the request does not go to another server, once while the reason stays the same. */
    void notRepeated(RetryPermit.Obstacle obstacle) {
        if (mLastObstacle.filter(last -> last == obstacle).isEmpty()) {
            mLastObstacle = Optional.of(obstacle);
            event("not_repeated", "obstacle", obstacle);
        }
    }

    private LogLine serverLine(String event, BackendServer server, String key, Object value) {
        return line(event)
                .with("server", server.name())
                .with(key, value)
                .with("after_ms", elapsedMilliseconds());
    }

    /** Logs where the request is sent and what was known about the server. */
    void placed(
            ServerPlacement.Destination destination,
            int attempt,
            Optional<Prompt> prompt,
            Optional<String> runSource) {
        BackendServer server = destination.server();
        LogLine line =
                line("placed")
                        .with("attempt", attempt)
                        .with("server", server.name())
                        .with("cost", Math.round(destination.cost()))
                        .with("in_flight", server.inFlight());
        destination.cacheSource().ifPresent(source -> line.with("fetch_from", source));
        destination.cacheTarget().ifPresent(target -> line.with("save_to", target));
        runSource.ifPresent(source -> line.with("run_from", source));
        prompt.ifPresent(
                sentPrompt ->
                        line.with("salt", destination.scope().salt())
                                .with("weights", destination.scope().weights())
                                .with("part", sentPrompt.prefixKey())
                                .with("shared_tokens", sentPrompt.prefixTokens())
                                .with("prompt_tokens", sentPrompt.promptTokens()));
        long now = mGateway.now();
        server.load()
                .ifPresent(
                        load ->
                                line.with("running", load.running())
                                        .with("waiting", load.waiting())
                                        .with(
                                                "report_age_ms",
                                                now - load.receivedAtMilliseconds()));
        server.notice(now)
                .ifPresent(
                        notice ->
                                line.with("engine_running", notice.getRunning())
                                        .with("engine_waiting", notice.getWaiting())
                                        .with("notice_age_ms", server.noticeAgeMilliseconds(now)));
        line.write();
    }

    /** Logs that a run stopped, with the weights of its KV cache and of both engines. */
    void runMoved(Attempt attempt, BackendServer target, boolean isCopied, boolean isComplete) {
        LogLine line =
                line("run_moved")
                        .with("server", attempt.server().name())
                        .with("to", isCopied ? target.name() : "")
                        .with("made_under", attempt.scope().weights())
                        .with("whole", isComplete);
        attempt.changedWeights().ifPresent(version -> line.with("changed_to", version));
        attempt.model()
                .ifPresent(
                        model ->
                                line.with("weights_here", attempt.server().expectedWeights(model))
                                        .with("weights_there", target.expectedWeights(model)));
        line.with("after_ms", elapsedMilliseconds()).write();
    }

    /** Logs the result of the request and counts it in the metrics. */
    void done(Result result) {
        mGateway.metrics().recordResponse(result.status(), elapsedMilliseconds());
        LogLine line =
                line("request_done")
                        .with("route", result.route())
                        .with("version", mGateway.routeTable().map(RouteTable::version).orElse(0L))
                        .with("status", result.status())
                        .with("outcome", result.outcome())
                        .with("server", result.server())
                        .with("attempts", result.attempts())
                        .with("may_have_run", result.mayHaveExecuted())
                        .with("after_ms", elapsedMilliseconds());
        result.connection().ifPresent(use -> use.addTo(line));
        if (result.server().isEmpty()) {
            mLastFailure.ifPresent(
                    failure ->
                            line.with("failed_at", failure.server())
                                    .with("failure", failure.reason()));
        }
        if (result.status() == 0) {
            line.with("ended_by", streamEndedBy(result.outcome()));
        }
        line.write();
    }

    /**
     * Returns which side ended a stream early; the gateway if it gave up for a reason of its own.
     */
    private String streamEndedBy(String outcome) {
        return mLastFailure
                .filter(failure -> failure.reason().equals(outcome))
                .map(Failure::endedBy)
                .orElse("gateway");
    }

    private LogLine line(String event) {
        LogLine line = LogLine.info(event).request(mRequest.identifier());
        return mGateway.isDraining()
                ? line.with(DRAINING_KEY, mGateway.drainingMilliseconds())
                : line;
    }
}
