package org.ibisstand.gateway;

import java.util.Optional;
import java.util.Set;

/** Permits a request to go to another server after an attempt that failed. */
final class RetryPermit {
    /** Why a request does not go to another server. */
    enum Obstacle {
        /** The request has no time left. */
        TIME_OVER,
        /** The gateway stops before the request could end. */
        GATEWAY_STOPS,
        /** The request was sent to as many servers as its route allows. */
        ATTEMPTS_USED,
        /** The retries of all gateways to the service are used up. */
        BUDGET_USED
    }

    private RetryPermit() {}

    /** Returns whether any server that is not excluded accepts the request. */
    static boolean hasOtherServer(
            GatewayContext gateway, AdmittedRequest request, Set<BackendServer> excluded) {
        return request.service()
                .filter(
                        service ->
                                !gateway.directory()
                                        .available(service, excluded, gateway.now())
                                        .isEmpty())
                .isPresent();
    }

    /**
     * Takes a retry from the budget of the service, if there is no obstacle to it.
     *
     * @param gateway the state of the gateway
     * @param request the request
     * @param attempts how many servers it was sent to
     * @param hasBegun whether the caller has received the beginning of a stream
     */
    static Optional<Obstacle> tryAcquire(
            GatewayContext gateway, AdmittedRequest request, int attempts, boolean hasBegun) {
        if (request.remainingMilliseconds() <= 0) {
            return Optional.of(Obstacle.TIME_OVER);
        }
        if (!gateway.hasTimeForRetry(request, hasBegun)) {
            return Optional.of(Obstacle.GATEWAY_STOPS);
        }
        if (attempts >= request.route().maximumAttempts()) {
            return Optional.of(Obstacle.ATTEMPTS_USED);
        }
        boolean isAcquired =
                gateway.retryBudget(request.serviceName()).tryAcquire(gateway.gatewayCount());
        return isAcquired ? Optional.empty() : Optional.of(Obstacle.BUDGET_USED);
    }
}
