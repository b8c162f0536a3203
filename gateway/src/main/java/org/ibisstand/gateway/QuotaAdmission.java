package org.ibisstand.gateway;

import java.util.Optional;
import org.ibisstand.gateway.limits.QuotaDecision;
import org.ibisstand.gateway.limits.QuotaPermit;

/** Admits one request within the quota of its team. Confined to the gateway's event loop. */
final class QuotaAdmission {
    private final GatewayContext mGateway;
    private final AdmittedRequest mRequest;
    private final QuotaPermit mPermit;
    private final RequestLog mLog;
    private Optional<String> mRetryAfter = Optional.empty();

    QuotaAdmission(
            GatewayContext gateway, AdmittedRequest request, QuotaPermit permit, RequestLog log) {
        mGateway = gateway;
        mRequest = request;
        mPermit = permit;
        mLog = log;
    }

    /**
     * Asks for the units of the request.
     *
     * @param granted runs if they were granted, now or later
     * @param refused runs if they were not; neither runs once the units were given back
     */
    void acquire(Runnable granted, Runnable refused) {
        mPermit.acquire(
                decision -> {
                    switch (decision) {
                        case QuotaDecision.Granted grant -> granted.run();
                        case QuotaDecision.Refused refusal -> {
                            recordRefusal(refusal);
                            refused.run();
                        }
                    }
                });
    }

    /** Gives the units back, as the request ended and did not run. */
    void refund() {
        mPermit.refund();
    }

    /** Returns the value of the Retry-After header of a request that was refused. */
    Optional<String> retryAfter() {
        return mRetryAfter;
    }

    private void recordRefusal(QuotaDecision.Refused refused) {
        String retryAfter = refused.retryAfter(mRequest.remainingMilliseconds(), mGateway.random());
        mRetryAfter = Optional.of(retryAfter);
        mLog.quotaRefused(mPermit, refused, retryAfter);
    }
}
