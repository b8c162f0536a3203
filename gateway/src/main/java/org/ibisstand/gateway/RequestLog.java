package org.ibisstand.gateway;

import java.util.Optional;
import org.ibisstand.base.LogLine;

/** Writes one line for each decision about one request; docs/OPERATIONS.md explains them. */
final class RequestLog {
    private final Gateway mGateway;
    private final CallerRequest mRequest;

    RequestLog(Gateway gateway, CallerRequest request) {
        mGateway = gateway;
        mRequest = request;
    }

    /**
     * How a request ended.
     *
     * @param route the name of its route; empty if it has none
     * @param status that the caller got; zero if its answer broke off
     * @param outcome what decided
     * @param server that answered; empty if none did
     * @param attempts servers on which it may have run
     * @param mayHaveRun whether any server may have run it
     */
    record End(
            String route,
            int status,
            String outcome,
            String server,
            int attempts,
            boolean mayHaveRun) {}

    /** Returns whether a line tells of a request that went as most do. */
    static boolean isOrdinary(String line) {
        return line.contains("event=placed")
                || line.contains("outcome=answered")
                || line.contains("outcome=streamed");
    }

    long elapsedMilliseconds() {
        return mGateway.now() - mRequest.arrivedMilliseconds();
    }

    void event(String event, String key, Object value) {
        line(event).with(key, value).write();
    }

    /** Notes what a server, or its silence, told about the request. */
    void server(String event, BackendServer server, String key, Object value) {
        line(event)
                .with("server", server.name())
                .with(key, value)
                .with("after_ms", elapsedMilliseconds())
                .write();
    }

    /** Notes where the request goes and what was known of the server. */
    void placed(
            Placement.Place place,
            int attempt,
            Optional<Prompt> prompt,
            Optional<String> runSource) {
        BackendServer server = place.server();
        LogLine line =
                line("placed")
                        .with("attempt", attempt)
                        .with("server", server.name())
                        .with("cost", Math.round(place.cost()))
                        .with("in_flight", server.inFlight());
        place.source().ifPresent(source -> line.with("fetch_from", source));
        place.target().ifPresent(target -> line.with("save_to", target));
        runSource.ifPresent(source -> line.with("run_from", source));
        prompt.ifPresent(
                one ->
                        line.with("salt", place.scope().salt())
                                .with("weights", place.scope().weights())
                                .with("part", one.sharedKey())
                                .with("shared_tokens", one.sharedTokens())
                                .with("prompt_tokens", one.promptTokens()));
        long now = mGateway.now();
        server.load()
                .ifPresent(
                        load ->
                                line.with("running", load.running())
                                        .with("waiting", load.waiting())
                                        .with("report_age_ms", now - load.atMilliseconds()));
        server.notice(now)
                .ifPresent(
                        notice ->
                                line.with("engine_running", notice.getRunning())
                                        .with("engine_waiting", notice.getWaiting())
                                        .with("notice_age_ms", server.noticeAge(now)));
        line.write();
    }

    /** Notes that a run stopped, and which weights its memory and both engines have. */
    void stopped(Attempt attempt, BackendServer target, boolean isCopied, boolean isWhole) {
        LogLine line =
                line("run_moved")
                        .with("server", attempt.server().name())
                        .with("to", isCopied ? target.name() : "")
                        .with("made_under", attempt.scope().weights())
                        .with("whole", isWhole);
        attempt.changedWeights().ifPresent(version -> line.with("changed_to", version));
        attempt.model()
                .ifPresent(
                        model ->
                                line.with("weights_here", attempt.server().weights(model))
                                        .with("weights_there", target.weights(model)));
        line.with("after_ms", elapsedMilliseconds()).write();
    }

    /** Notes the end of the request, and counts it. */
    void done(End end) {
        mGateway.metrics().answered(end.status(), elapsedMilliseconds());
        line("request_done")
                .with("route", end.route())
                .with("version", mGateway.table().map(RouteTable::version).orElse(0L))
                .with("status", end.status())
                .with("outcome", end.outcome())
                .with("server", end.server())
                .with("attempts", end.attempts())
                .with("may_have_run", end.mayHaveRun())
                .with("after_ms", elapsedMilliseconds())
                .write();
    }

    private LogLine line(String event) {
        return LogLine.info(event).request(mRequest.identifier());
    }
}
