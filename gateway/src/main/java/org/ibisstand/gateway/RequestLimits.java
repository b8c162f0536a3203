package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * The limits that one request passes between its admission and its placement: the quota of its
 * team, then the queue for engines. Confined to the gateway's event loop.
 */
final class RequestLimits {
    private final GatewayContext mGateway;
    private final RequestForwarder mForwarder;
    private final RequestTimer mTimer;
    private final RequestLog mLog;
    private Optional<QuotaAdmission> mQuota = Optional.empty();
    private Optional<OverloadEntry> mOverloadEntry = Optional.empty();

    RequestLimits(
            GatewayContext gateway,
            RequestForwarder forwarder,
            RequestTimer timer,
            RequestLog log) {
        mGateway = gateway;
        mForwarder = forwarder;
        mTimer = timer;
        mLog = log;
    }

    /** Starts or rejects the request, now or later. */
    void enter() {
        mQuota = mForwarder.admitted().quotaAdmission(mLog);
        long askedAt = mGateway.now();
        mQuota.ifPresentOrElse(
                quota ->
                        quota.acquire(
                                () -> mTimer.runOrFail(() -> quotaGranted(askedAt)),
                                () ->
                                        mForwarder.reject(
                                                HttpResponseStatus.TOO_MANY_REQUESTS,
                                                "over_quota",
                                                quota.retryAfter())),
                () -> enterOverloadQueue(false));
    }

    private void quotaGranted(long askedAt) {
        mForwarder.refuseIfStopping();
        if (!mForwarder.isDone()) {
            enterOverloadQueue(mGateway.now() > askedAt);
        }
    }

    /** Sends the request to an engine at once, or once the queue for engines lets it. */
    private void enterOverloadQueue(boolean hasWaited) {
        mOverloadEntry = OverloadEntry.create(mForwarder, mGateway, hasWaited);
        mOverloadEntry.ifPresentOrElse(OverloadEntry::enter, mForwarder::startAttempt);
    }

    /** Notes that the engine is chosen, or that there is none. */
    void placed() {
        mOverloadEntry.ifPresent(OverloadEntry::placed);
    }

    /** Gives back what the request took of its team's quota, as it has not run and never will. */
    void refundQuota() {
        mQuota.ifPresent(QuotaAdmission::refund);
    }

    /** Leaves the queue, as the request has ended. */
    void leave() {
        mOverloadEntry.ifPresent(OverloadEntry::leave);
    }
}
