package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ibisstand.settings.Route;

/**
 * Serves one request of a caller: admits it, sends it to a backend server, to a further one where
 * that is allowed, and answers exactly once. For the traffic thread only.
 *
 * <p>A request that may run once at most is sent again only after a backend server, or the lack of
 * a connection, proved that it did not run. A resumable stream goes on at a further server behind
 * its last whole event, inside the same answer.
 */
final class Forwarding {
    /** Servers that may refuse the request, or the connection, before the caller is refused. */
    private static final int MAXIMUM_NOT_RUN = 3;

    /** A restarted member of control is connected and has sent its configuration by then. */
    private static final long CONFIGURATION_MILLISECONDS = 1_000;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final CallerAnswer mCaller;
    private final RequestLog mLog;
    private final RunContinuation mRun;
    private final Set<BackendServer> mTried = new HashSet<>();
    private Optional<AdmittedRequest> mAdmitted = Optional.empty();
    private Optional<Attempt> mAttempt = Optional.empty();
    private Optional<Future<?>> mTimer = Optional.empty();
    private Optional<StreamRelay> mStream = Optional.empty();
    private int mSent;
    private int mNotRun;
    private boolean mMayHaveRun;
    private boolean mDecided;
    private boolean mDone;

    Forwarding(Gateway gateway, CallerRequest request, CallerAnswer caller) {
        mGateway = gateway;
        mRequest = request;
        mCaller = caller;
        mLog = new RequestLog(gateway, request);
        mRun = new RunContinuation(this, gateway, mLog);
    }

    /**
     * Decides at once if a configuration is known. After a start it comes within a second: callers
     * that wait for it are served, and those that were refused would return to the same moment.
     */
    void start() {
        if (mGateway.table().isEmpty() && !mGateway.isDraining()) {
            mLog.event("waits_for_configuration", "longest_ms", CONFIGURATION_MILLISECONDS);
            mGateway.onceServing(this::decide);
            mTimer =
                    Optional.of(
                            mGateway.loop()
                                    .schedule(
                                            this::decide,
                                            CONFIGURATION_MILLISECONDS,
                                            TimeUnit.MILLISECONDS));
        } else {
            decide();
        }
    }

    private void decide() {
        if (mDecided || mDone) {
            return;
        }
        mDecided = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
        switch (Admission.of(mGateway.table(), mRequest)) {
            case Admission.Refused refused -> refuse(refused.status(), refused.reason());
            case Admission.Admitted admitted -> admit(admitted);
        }
    }

    /** The caller closed its connection: the work for it is cancelled. */
    void callerLeft() {
        if (!mDone) {
            mLog.event("caller_left", "after_ms", mLog.elapsedMilliseconds());
            mGateway.metrics().counted("callers_left");
            finish();
        }
    }

    void setReading(boolean reading) {
        mAttempt.ifPresent(attempt -> attempt.setReading(reading));
    }

    private void admit(Admission.Admitted admission) {
        AdmittedRequest admitted = new AdmittedRequest(mGateway, mRequest, admission);
        mAdmitted = Optional.of(admitted);
        mTimer =
                Optional.of(
                        mGateway.loop()
                                .schedule(
                                        this::expire,
                                        Math.max(0, admitted.leftMilliseconds()),
                                        TimeUnit.MILLISECONDS));
        mGateway.allowance(admitted.serviceName()).first();
        attempt();
    }

    private void attempt() {
        if (mDone) {
            return;
        }
        AdmittedRequest admitted = admitted();
        if (admitted.isForEngine()) {
            mGateway.promptPlacement().choose(admitted.task(mTried), this::send);
        } else {
            send(
                    admitted.service()
                            .flatMap(service -> mGateway.placement().choose(service, mTried)));
        }
    }

    private void send(Optional<Placement.Place> place) {
        if (mDone) {
            return;
        }
        if (place.isEmpty()) {
            giveUp("no_server");
            return;
        }
        mRun.startsAnew();
        mSent++;
        admitted()
                .prompt()
                .ifPresent(prompt -> mGateway.promptPlacement().sent(prompt, place.get()));
        sendTo(place.get());
    }

    /** Sends the request, or what continues it, to one server. */
    void sendTo(Placement.Place place) {
        mTried.add(place.server());
        Optional<Prompt> prompt = admitted().prompt();
        Attempt attempt = new Attempt(this, mGateway, place, prompt);
        mAttempt = Optional.of(attempt);
        mLog.placed(place, mSent, prompt, mRun.source());
        attempt.send(
                admitted().copyFor(place, mStream.flatMap(StreamRelay::lastEvent), mRun.source()),
                mRequest.identifier(),
                isRepeatable());
        armSilence(attempt);
    }

    /** Notes the weights that made an answer. */
    void learnWeights(BackendServer server, String version) {
        Optional<Prompt> prompt = admitted().prompt();
        if (prompt.isPresent() && !version.isEmpty() && version.length() < Integer.SIZE / 2) {
            try {
                server.learnedWeights(prompt.get().model(), Long.parseLong(version));
            } catch (NumberFormatException e) {
                mLog.event("weights_unreadable", "text", version);
            }
        }
    }

    /**
     * An idempotent call whose server says nothing for as long as the objective, or for half of the
     * time that is left, is sent to another one: connections fall silent without a reset, and the
     * first server is told to stop.
     */
    private void armSilence(Attempt attempt) {
        Route route = route();
        if (route.repetition() != Route.Repetition.IDEMPOTENT) {
            return;
        }
        mGateway.loop()
                .schedule(
                        () -> {
                            if (!mDone && isCurrent(attempt) && attempt.hasNoHead()) {
                                attemptFailed(attempt, "silent", true);
                            }
                        },
                        Math.min(route.objectiveMilliseconds(), admitted().leftMilliseconds() / 2),
                        TimeUnit.MILLISECONDS);
    }

    /** Returns the run of a stream, which may go on at another engine. */
    RunContinuation run() {
        return mRun;
    }

    CallerRequest request() {
        return mRequest;
    }

    /** Returns the servers that are not asked again. */
    Set<BackendServer> tried() {
        return mTried;
    }

    boolean isCurrent(Attempt attempt) {
        return !mDone && mAttempt.filter(present -> present == attempt).isPresent();
    }

    Route route() {
        return admitted().route();
    }

    boolean isRepeatable() {
        return route().isIdempotent();
    }

    /** No connection could be opened: the server has seen nothing. */
    void unsent(Attempt attempt, String reason) {
        mLog.server("not_sent", attempt.server(), "reason", reason);
        endAttempt(attempt);
        if (mRun.goesOn()) {
            mRun.refused(attempt, reason);
            return;
        }
        mNotRun++;
        mSent--;
        if (mNotRun < MAXIMUM_NOT_RUN) {
            attempt();
        } else {
            giveUp("no_connection");
        }
    }

    /** The server said that it did not run the request. */
    void notRun(Attempt attempt, int status) {
        endAttempt(attempt);
        if (mRun.goesOn()) {
            mLog.server("not_run", attempt.server(), "status", status);
            mRun.refused(attempt, "refused_by_server");
            return;
        }
        mNotRun++;
        mSent--;
        attempt.server().refused(mGateway.now());
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code() && !attempt.namesWeights()) {
            admitted().prompt().ifPresent(prompt -> suspectWeights(attempt.server(), prompt));
        }
        mLog.server("not_run", attempt.server(), "status", status);
        if (mNotRun < MAXIMUM_NOT_RUN) {
            repeatOrGiveUp("refused_by_server");
        } else {
            giveUp("refused_by_servers");
        }
    }

    /** A server that is another, or has other weights, most likely has the newest by now. */
    private void suspectWeights(BackendServer server, Prompt prompt) {
        long named = mGateway.weights().newest(prompt.model());
        server.suspectedWeights(prompt.model(), named);
    }

    /** The attempt may have run and has no whole answer. */
    void attemptFailed(Attempt attempt, String reason, boolean cancels) {
        endAttempt(attempt);
        mMayHaveRun = true;
        if (cancels) {
            attempt.cancel();
        }
        attempt.server().failed(mGateway.now());
        mLog.server("attempt_failed", attempt.server(), "reason", reason);
        if (isRepeatable()) {
            repeatOrGiveUp(reason);
        } else {
            giveUp(reason);
        }
    }

    /** An engine stopped the run of the request: it has run, whatever becomes of it now. */
    void runStopped(Attempt attempt) {
        mMayHaveRun = true;
        endAttempt(attempt);
    }

    /** Returns whether a failure that a server answered is tried elsewhere. */
    boolean repeatsFailure(Attempt attempt, int status) {
        boolean isPlain = route().repetition() == Route.Repetition.IDEMPOTENT;
        if (!isPlain || !mayRepeat()) {
            return false;
        }
        endAttempt(attempt);
        mMayHaveRun = true;
        mLog.server("failure_repeated", attempt.server(), "status", status);
        attempt();
        return true;
    }

    /** A whole answer is passed on unchanged, but for one in place of the rest of a stream. */
    void answered(Attempt attempt, HttpResponse head, ByteBuf body) {
        if (mStream.filter(StreamRelay::isBegun).isPresent()) {
            body.release();
            attemptFailed(attempt, "status " + head.status().code() + " inside a stream", false);
            return;
        }
        endAttempt(attempt);
        HttpHeaders headers = HeaderCopy.of(head.headers(), Set.of());
        logDone(head.status().code(), attempt.server().name(), "answered");
        finish();
        mCaller.whole(head.status(), headers, body);
    }

    /** Begins to pass a stream on, or goes on with one that broke off. */
    StreamRelay stream(HttpResponse head) {
        StreamRelay relay = mStream.orElseGet(() -> new StreamRelay(mCaller, mRequest, mGateway));
        mStream = Optional.of(relay);
        relay.serves(head);
        return relay;
    }

    void streamed(Attempt attempt) {
        endAttempt(attempt);
        logDone(HttpResponseStatus.OK.code(), attempt.server().name(), "streamed");
        finish();
        mStream.ifPresent(StreamRelay::end);
    }

    private boolean mayRepeat() {
        boolean hasTime = admitted().leftMilliseconds() > 0;
        return hasTime
                && mSent < route().maximumAttempts()
                && mGateway.allowance(admitted().serviceName()).take(mGateway.entries());
    }

    void repeatOrGiveUp(String reason) {
        if (mayRepeat()) {
            mGateway.metrics().counted("repeats");
            attempt();
        } else {
            giveUp(reason);
        }
    }

    /**
     * Ends the request without an answer of a backend server, and says truthfully what is known.
     */
    void giveUp(String reason) {
        boolean isBegun = mStream.filter(StreamRelay::isBegun).isPresent();
        if (isBegun) {
            logDone(0, "", reason);
            finish();
            mCaller.breakOff();
        } else if (mMayHaveRun) {
            refuse(HttpResponseStatus.BAD_GATEWAY, reason);
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        }
    }

    private void expire() {
        if (mDone) {
            return;
        }
        boolean wasSent = mAttempt.filter(Attempt::isSent).isPresent();
        mMayHaveRun |= wasSent;
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    endAttempt(attempt);
                });
        if (mStream.filter(StreamRelay::isBegun).isPresent()) {
            giveUp("time_over");
        } else if (mMayHaveRun) {
            refuse(HttpResponseStatus.GATEWAY_TIMEOUT, "time_over");
        } else {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "time_over");
        }
    }

    private void refuse(HttpResponseStatus status, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!mRequest.identifier().isEmpty()) {
            headers.set(mGateway.names().requestIdentifier(), mRequest.identifier());
        }
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set("Retry-After", RetryAdvice.seconds(mGateway.random()));
        }
        logDone(status.code(), "", reason);
        finish();
        mCaller.whole(status, headers, Unpooled.EMPTY_BUFFER);
    }

    void endAttempt(Attempt attempt) {
        mRun.cancelMove();
        attempt.end();
        mAttempt = Optional.empty();
    }

    private void finish() {
        mDone = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    attempt.end();
                });
        mAttempt = Optional.empty();
        mRun.cancelMove();
        mRequest.body().release();
    }

    AdmittedRequest admitted() {
        return mAdmitted.get();
    }

    private void logDone(int status, String server, String outcome) {
        mLog.done(
                new RequestLog.End(
                        mAdmitted.map(admitted -> admitted.route().name()).orElse(""),
                        status,
                        outcome,
                        server,
                        mSent,
                        mMayHaveRun || status == HttpResponseStatus.OK.code()));
    }
}
