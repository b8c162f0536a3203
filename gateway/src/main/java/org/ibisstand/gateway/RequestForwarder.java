package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.RoutedService;

/**
 * Serves one request of a caller: admits it, sends it to a backend server, retries at other servers
 * where that is allowed, and responds exactly once. Confined to the gateway's event loop.
 *
 * <p>A request that may execute at most once is retried only if a backend server stated that it did
 * not execute it, or if no connection was opened. A resumable stream continues at another server
 * after its last complete event, within the same response.
 */
final class RequestForwarder {
    /** How many servers may reject the request or the connection before the caller is rejected. */
    private static final int MAXIMUM_REJECTIONS = 3;

    /** A restarted control member is connected and has sent its configuration by then. */
    private static final long CONFIGURATION_WAIT_MILLISECONDS = 1_000;

    private final GatewayContext mGateway;
    private final CallerRequest mRequest;
    private final ResponseWriter mResponseWriter;
    private final RequestLog mLog;
    private final RunMover mRunMover;
    private final Set<BackendServer> mExcluded = new HashSet<>();
    private Optional<AdmittedRequest> mAdmitted = Optional.empty();
    private Optional<Attempt> mAttempt = Optional.empty();
    private final RequestTimer mTimer;
    private final RequestLimits mLimits;
    private Optional<StreamRelay> mRelay = Optional.empty();
    private int mAttemptCount;
    private int mRejectionCount;
    private boolean mMayHaveExecuted;
    private boolean mAdmissionChecked;
    private boolean mDone;

    RequestForwarder(GatewayContext gateway, CallerRequest request, ResponseWriter responseWriter) {
        mGateway = gateway;
        mRequest = request;
        mResponseWriter = responseWriter;
        mLog = new RequestLog(gateway, request);
        mRunMover = new RunMover(this, gateway, mLog);
        mTimer = new RequestTimer(gateway, this::taskFailed);
        mLimits = new RequestLimits(gateway, this, mTimer, mLog);
    }

    /**
     * Checks admission at once if a configuration is known. After a start of the gateway, the
     * configuration arrives within a second; requests wait for it, since callers that were rejected
     * would all retry at the same moment.
     */
    void start() {
        if (mGateway.routeTable().isEmpty() && !mGateway.isDraining()) {
            mLog.event("waits_for_configuration", "longest_ms", CONFIGURATION_WAIT_MILLISECONDS);
            mGateway.whenConfigured(this::checkAdmission);
            mTimer.schedule(
                    "check_admission", this::checkAdmission, CONFIGURATION_WAIT_MILLISECONDS);
        } else {
            checkAdmission();
        }
    }

    private void checkAdmission() {
        if (mAdmissionChecked || mDone) {
            return;
        }
        mAdmissionChecked = true;
        mTimer.cancel();
        switch (Admission.decide(mGateway.routeTable(), mRequest)) {
            case Admission.Rejected rejected -> reject(rejected.status(), rejected.reason());
            case Admission.Admitted admitted -> admit(admitted);
        }
    }

    /** Cancels the request because the connection of its caller closed for a reason. */
    void callerDisconnected(String reason) {
        if (!mDone) {
            mLog.callerLeft(reason);
            mGateway.metrics().incrementCounter("callers_left");
            refundQuota();
            finish();
        }
    }

    void setReading(boolean reading) {
        mAttempt.ifPresent(attempt -> attempt.setReading(reading));
    }

    private void admit(Admission.Admitted admission) {
        AdmittedRequest admitted = new AdmittedRequest(mGateway, mRequest, admission);
        mAdmitted = Optional.of(admitted);
        mTimer.schedule("expire_deadline", this::deadlineExpired, admitted.remainingMilliseconds());
        mGateway.retryBudget(admitted.serviceName()).recordRequest();
        refuseIfStopping();
        if (!mDone) {
            mLimits.enter();
        }
    }

    /** Gives back what the request took of its team's quota, unless it may have run. */
    private void refundQuota() {
        if (!mMayHaveExecuted && !isStreamStarted() && mAttempt.filter(Attempt::isSent).isEmpty()) {
            mLimits.refundQuota();
        }
    }

    private void taskFailed() {
        if (!mDone) {
            fail("internal_error");
        }
    }

    /** Sends a request that was in the queue for engines. */
    void startAfterQueue() {
        refuseIfStopping();
        mTimer.runOrFail(this::startAttempt);
    }

    /** Refuses a request that has not been sent and might outlast the gateway. */
    void refuseIfStopping() {
        if (!mDone && !mGateway.endsBeforeStop(admitted())) {
            mGateway.metrics().incrementCounter("stop_refusals");
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "gateway_stops");
        }
    }

    /**
     * Ends the request if a part of its prompt is quarantined, with a status that does not invite
     * callers to retry.
     *
     * @return whether it did
     */
    private boolean refuseQuarantined() {
        Optional<String> part =
                admitted().prompt().flatMap(mGateway.partQuarantine()::quarantinedPart);
        if (part.isEmpty()) {
            return false;
        }
        mLog.event("part_refused", "part", part.get());
        mGateway.metrics().incrementCounter("quarantine_refusals");
        if (isStreamStarted()) {
            fail("part_quarantined");
        } else {
            reject(HttpResponseStatus.BAD_GATEWAY, "part_quarantined");
        }
        return true;
    }

    void startAttempt() {
        if (mDone || refuseQuarantined()) {
            return;
        }
        AdmittedRequest admitted = admitted();
        if (admitted.isForEngine()) {
            mGateway.promptPlacement().choose(admitted.placementRequest(mExcluded), this::send);
        } else {
            send(
                    admitted.service()
                            .flatMap(
                                    service ->
                                            mGateway.serverPlacement().choose(service, mExcluded)));
        }
    }

    private void send(Optional<ServerPlacement.Destination> destination) {
        mLimits.placed();
        if (mDone) {
            return;
        }
        if (destination.isEmpty()) {
            fail("no_server");
            return;
        }
        if (refuseQuarantined()) {
            return;
        }
        mRunMover.clearResumption();
        mAttemptCount++;
        admitted()
                .prompt()
                .ifPresent(
                        prompt -> mGateway.promptPlacement().recordSent(prompt, destination.get()));
        sendTo(destination.get());
    }

    /** Sends the request, or the request that resumes it, to one server. */
    void sendTo(ServerPlacement.Destination destination) {
        if (mDone || refuseQuarantined()) {
            return;
        }
        boolean isRepeated = !mExcluded.add(destination.server());
        Optional<Prompt> prompt = admitted().prompt();
        Attempt attempt = new Attempt(this, mGateway, destination, prompt);
        mAttempt = Optional.of(attempt);
        mLog.placed(destination, mAttemptCount, prompt, mRunMover.runSource());
        attempt.send(
                admitted()
                        .backendRequest(
                                destination,
                                mRelay.flatMap(StreamRelay::lastEvent),
                                mRunMover.runSource()),
                mRequest.identifier(),
                isRetryable(),
                isRepeated);
        ResponseTimeout.schedule(mGateway, this, attempt);
    }

    /** Logs that the request, or the rest of its response, is still in progress. */
    void logInProgress() {
        mLog.inProgress(mAttempt, mAttemptCount, mDone);
    }

    RunMover runMover() {
        return mRunMover;
    }

    CallerRequest request() {
        return mRequest;
    }

    /** Returns the modifiable set of servers that this request is not sent to again. */
    Set<BackendServer> excludedServers() {
        return mExcluded;
    }

    boolean isDone() {
        return mDone;
    }

    boolean isCurrent(Attempt attempt) {
        return !mDone && mAttempt.filter(current -> current == attempt).isPresent();
    }

    Route route() {
        return admitted().route();
    }

    boolean isRetryable() {
        return route().isIdempotent() && mRelay.map(StreamRelay::isResumable).orElse(true);
    }

    /** Handles a connection that could not be opened; the server has received nothing. */
    void connectFailed(Attempt attempt, String reason) {
        mLog.attemptEvent("not_sent", attempt, "reason", reason);
        endAttempt(attempt);
        if (mRunMover.isResuming()) {
            mRunMover.resumeRejected(attempt.server(), reason, true);
            return;
        }
        mRejectionCount++;
        mAttemptCount--;
        if (mRejectionCount < MAXIMUM_REJECTIONS) {
            startAttempt();
        } else {
            fail("no_connection");
        }
    }

    /** Handles a response that states that the server did not execute the request. */
    void rejectedByServer(Attempt attempt, int status) {
        endAttempt(attempt);
        if (mRunMover.isResuming()) {
            mLog.attemptEvent("not_run", attempt, "status", status);
            boolean isMomentary = status == HttpResponseStatus.SERVICE_UNAVAILABLE.code();
            mRunMover.resumeRejected(attempt.server(), "refused_by_server", isMomentary);
            return;
        }
        mRejectionCount++;
        mAttemptCount--;
        attempt.server().recordRefusal(mGateway.now());
        if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
            attempt.assumeNewestWeights();
        }
        mLog.attemptEvent("not_run", attempt, "status", status);
        if (mRejectionCount < MAXIMUM_REJECTIONS) {
            retryOrFail("refused_by_server");
        } else {
            fail("refused_by_servers");
        }
    }

    /**
     * Gives up a server that is silent. A stream that has begun, or a request at a server that is
     * alive, waits on unless another server can take it: this one may still send the rest.
     */
    void serverSilent(Attempt attempt, String reason, boolean isServerAlive) {
        if (!isStreamStarted() && !isServerAlive) {
            attemptFailed(attempt, reason, true);
        } else if (!attempt.isSuspectElsewhere()
                && RetryPermit.hasOtherServer(mGateway, admitted(), mExcluded)
                && tryAcquireRetry()) {
            recordFailure(attempt, reason, true);
            mGateway.metrics().incrementCounter("repeats");
            startAttempt();
        }
    }

    /** Handles an attempt that may have executed and has no complete response. */
    void attemptFailed(Attempt attempt, String reason, boolean shouldCancel) {
        recordFailure(attempt, reason, shouldCancel);
        if (isRetryable() && !attempt.isSuspectElsewhere()) {
            retryOrFail(reason);
        } else {
            fail(reason);
        }
    }

    private void recordFailure(Attempt attempt, String reason, boolean shouldCancel) {
        endAttempt(attempt);
        mMayHaveExecuted = true;
        if (shouldCancel) {
            attempt.cancel();
        }
        attempt.server().recordFailureUnlessLoading(mGateway.now());
        mLog.attemptFailed(attempt, reason, shouldCancel);
    }

    /** Ends an attempt whose run an engine stopped; from now on the request counts as executed. */
    void runStopped(Attempt attempt) {
        mMayHaveExecuted = true;
        endAttempt(attempt);
    }

    /** Retries after a server error response if allowed; returns whether it did. */
    boolean retryServerError(Attempt attempt, int status) {
        if (route().repetition() != Route.Repetition.IDEMPOTENT || !tryAcquireRetry()) {
            return false;
        }
        endAttempt(attempt);
        mMayHaveExecuted = true;
        mLog.attemptEvent("failure_repeated", attempt, "status", status);
        startAttempt();
        return true;
    }

    /**
     * Forwards a complete response unchanged, unless it arrives in place of the rest of a stream,
     * which is a failure.
     */
    void forwardResponse(Attempt attempt, HttpResponse head, ByteBuf body) {
        if (isStreamStarted()) {
            body.release();
            attemptFailed(attempt, "status " + head.status().code() + " inside a stream", false);
            return;
        }
        endAttempt(attempt);
        recordDuration(true);
        logDone(head.status().code(), "answered", Optional.of(attempt));
        finish();
        mResponseWriter.sendFull(
                head.status(), EndToEndHeaders.copyOf(head.headers(), Set.of()), body);
    }

    boolean isStreamStarted() {
        return mRelay.filter(StreamRelay::isStarted).isPresent();
    }

    /** Returns the relay of the stream, which is kept if another server resumes the stream. */
    StreamRelay openRelay(HttpResponse head) {
        StreamRelay relay =
                mRelay.orElseGet(() -> new StreamRelay(mResponseWriter, mRequest, mGateway));
        mRelay = Optional.of(relay);
        relay.switchTo(head);
        return relay;
    }

    void streamCompleted(Attempt attempt) {
        endAttempt(attempt);
        recordDuration(true);
        logDone(HttpResponseStatus.OK.code(), "streamed", Optional.of(attempt));
        finish();
        mRelay.ifPresent(StreamRelay::end);
    }

    void recordDuration(boolean isDone) {
        if (mAdmitted.isPresent()) {
            mGateway.recordDuration(route().name(), mLog.elapsedMilliseconds(), isDone);
        }
    }

    private boolean tryAcquireRetry() {
        Optional<RetryPermit.Obstacle> obstacle =
                RetryPermit.tryAcquire(mGateway, admitted(), mAttemptCount, isStreamStarted());
        obstacle.ifPresent(mLog::notRepeated);
        return obstacle.isEmpty();
    }

    void retryOrFail(String reason) {
        if (tryAcquireRetry()) {
            mGateway.metrics().incrementCounter("repeats");
            startAttempt();
        } else {
            fail(reason);
        }
    }

    /**
     * Ends the request without a response of a backend server: aborts a stream that has begun, or
     * else responds with 502 if the request may have executed and 503 if it did not.
     */
    void fail(String reason) {
        fail(reason, HttpResponseStatus.BAD_GATEWAY);
    }

    private void fail(String reason, HttpResponseStatus statusIfRun) {
        if (isStreamStarted()) {
            logDone(0, reason, Optional.empty());
            finish();
            mResponseWriter.abort();
        } else if (mMayHaveExecuted) {
            reject(statusIfRun, reason);
        } else {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason);
        }
    }

    /**
     * Ends the request because the gateway stops: a caller whose connection just closed could not
     * tell whether the request ran.
     */
    void gatewayStops() {
        if (!mDone) {
            cancelAttempt();
            fail("gateway_stops");
        }
    }

    private void cancelAttempt() {
        mMayHaveExecuted |= mAttempt.filter(Attempt::isSent).isPresent();
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    endAttempt(attempt);
                });
    }

    private void deadlineExpired() {
        if (mDone) {
            return;
        }
        cancelAttempt();
        fail("time_over", HttpResponseStatus.GATEWAY_TIMEOUT);
    }

    private void reject(HttpResponseStatus status, String reason) {
        reject(status, reason, Optional.empty());
    }

    /** Rejects the request; without a time to retry after, 503 has the general one. */
    void reject(HttpResponseStatus status, String reason, Optional<String> retryAfter) {
        logDone(status.code(), reason, Optional.empty());
        refundQuota();
        finish();
        Optional<RoutedService> service = mAdmitted.flatMap(AdmittedRequest::service);
        HttpHeaders headers = OwnResponse.headers(mGateway, mRequest, service, status, retryAfter);
        mResponseWriter.sendFull(status, headers, Unpooled.EMPTY_BUFFER);
    }

    void endAttempt(Attempt attempt) {
        mRunMover.cancelMove();
        attempt.release();
        mAttempt = Optional.empty();
    }

    private void finish() {
        mDone = true;
        mLimits.leave();
        mTimer.cancel();
        mAttempt.ifPresent(
                attempt -> {
                    attempt.cancel();
                    attempt.release();
                });
        mAttempt = Optional.empty();
        mRunMover.cancelMove();
        mRequest.body().release();
    }

    AdmittedRequest admitted() {
        return mAdmitted.get();
    }

    private void logDone(int status, String outcome, Optional<Attempt> answered) {
        mLog.done(
                RequestLog.Result.of(
                        mAdmitted, status, outcome, answered, mAttemptCount, mMayHaveExecuted));
    }
}
