package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.gateway.limits.OverloadQueue;
import org.ibisstand.routing.overload.EngineForecast;
import org.ibisstand.routing.overload.OverloadRequest;

/** One request between its admission and its placement at an engine, under overload control. */
final class OverloadEntry implements OverloadQueue.Candidate {
    private final RequestForwarder mForwarder;
    private final GatewayContext mGateway;
    private final OverloadQueue mQueue;
    private final PromptPlacement.PlacementRequest mPlacement;
    private final OverloadRequest mRequest;

    private OverloadEntry(
            RequestForwarder forwarder,
            GatewayContext gateway,
            OverloadQueue queue,
            boolean hasWaited) {
        mForwarder = forwarder;
        mGateway = gateway;
        mQueue = queue;
        AdmittedRequest admitted = forwarder.admitted();
        mPlacement = admitted.placementRequest(Set.of());
        Prompt prompt = mPlacement.prompt();
        boolean resumesStream =
                forwarder.request().headers().contains(gateway.headerNames().lastEvent());
        mRequest =
                new OverloadRequest(
                        queue.nextIdentifier(),
                        admitted.serviceName(),
                        admitted.teamName(),
                        admitted.priority(),
                        admitted.deadlineAtMilliseconds(),
                        admitted.route().objectiveMilliseconds(),
                        (long) prompt.promptTokens() + prompt.maximumOutputTokens(),
                        hasWaited || resumesStream);
    }

    /**
     * Returns an entry that is not in the queue; empty without overload control, and for requests
     * that do not go to engines.
     *
     * @param forwarder sends or rejects the request
     * @param gateway the gateway of the request
     * @param hasWaited whether the request waited before for another limit
     */
    static Optional<OverloadEntry> create(
            RequestForwarder forwarder, GatewayContext gateway, boolean hasWaited) {
        return gateway.overloadQueue()
                .filter(queue -> forwarder.admitted().isForEngine())
                .map(queue -> new OverloadEntry(forwarder, gateway, queue, hasWaited));
    }

    void enter() {
        mQueue.enter(this);
    }

    /** Notes that the engine is chosen, or that there is none. */
    void placed() {
        mQueue.placed(mRequest.identifier());
    }

    /** Leaves the queue, as the request has ended. */
    void leave() {
        mQueue.remove(mRequest.identifier());
    }

    @Override
    public String name() {
        return mForwarder.request().identifier();
    }

    @Override
    public OverloadRequest request() {
        return mRequest;
    }

    @Override
    public Optional<EngineForecast> forecast() {
        return mGateway.promptPlacement().forecast(mPlacement, mGateway.gatewayCount());
    }

    @Override
    public void refuseIfStopping() {
        mForwarder.refuseIfStopping();
    }

    @Override
    public void run() {
        mForwarder.startAfterQueue();
    }

    @Override
    public void reject(Duration retryAfter) {
        mForwarder.reject(
                HttpResponseStatus.SERVICE_UNAVAILABLE,
                "overload",
                Optional.of(RetryAfter.headerValue(retryAfter)));
    }
}
