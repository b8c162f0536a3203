package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.LogLine;
import org.ibisstand.gateway.limits.QuotaPermit;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;
import org.ibisstand.settings.TeamQuota;

/** An admitted request with the service, deadline and priority that apply to it. */
final class AdmittedRequest {
    /** Served last from an engine's queue; 0 is served first. */
    private static final int LOWEST_PRIORITY = 9;

    /**
     * Longer than the timeout of any route; half the range, so that adding a time cannot overflow.
     */
    private static final long NO_DEADLINE_MILLISECONDS = Long.MAX_VALUE / 2;

    private final GatewayContext mGateway;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final Optional<TeamKeys> mTeam;
    private final Optional<Prompt> mPrompt;
    private final Optional<RoutedService> mService;
    private final long mDeadlineAtMilliseconds;

    AdmittedRequest(GatewayContext gateway, CallerRequest request, Admission.Admitted admitted) {
        mGateway = gateway;
        mRequest = request;
        mRoute = admitted.route();
        mTeam = admitted.team();
        mPrompt = gateway.promptReader().read(request.headers());
        mService = gateway.routeTable().flatMap(table -> table.service(chooseService()));
        mDeadlineAtMilliseconds =
                request.arrivedMilliseconds()
                        + Math.min(mRoute.timeoutMilliseconds(), callerTimeoutMilliseconds());
    }

    Route route() {
        return mRoute;
    }

    Optional<Prompt> prompt() {
        return mPrompt;
    }

    Optional<RoutedService> service() {
        return mService;
    }

    /** Returns the admission within the quota of the team; empty if the team has no limit. */
    Optional<QuotaAdmission> quotaAdmission(RequestLog log) {
        return mTeam.flatMap(TeamKeys::quota)
                .filter(TeamQuota::hasLimit)
                .map(quota -> new QuotaAdmission(mGateway, this, quotaPermit(quota), log));
    }

    private QuotaPermit quotaPermit(TeamQuota quota) {
        return new QuotaPermit(mGateway.quotaGate(), mTeam.get().name(), quota, quotaUnits(quota));
    }

    private long quotaUnits(TeamQuota quota) {
        return switch (quota.unit()) {
            case REQUEST -> 1;
            case TOKEN ->
                    mPrompt.map(
                                    prompt ->
                                            (long) prompt.promptTokens()
                                                    + prompt.maximumOutputTokens())
                            .filter(tokens -> tokens > 0)
                            .orElse((long) quota.defaultTokens());
        };
    }

    String serviceName() {
        return mService.map(RoutedService::name).orElse("");
    }

    /**
     * Returns whether the server is chosen by the part of the prompt that it has in its KV cache.
     */
    boolean isForEngine() {
        return mPrompt.isPresent() && mService.flatMap(RoutedService::engine).isPresent();
    }

    /** Returns whether the run of the request may be moved to another engine. */
    boolean canMoveRun() {
        return isForEngine()
                && mService.flatMap(RoutedService::engine)
                        .filter(RoutedService.Engine::movesRuns)
                        .isPresent();
    }

    /**
     * Returns when the request times out: after the timeout of the route, or that of the caller if
     * it is shorter. The time is in milliseconds of the gateway's clock.
     */
    long deadlineAtMilliseconds() {
        return mDeadlineAtMilliseconds;
    }

    long remainingMilliseconds() {
        return mDeadlineAtMilliseconds - mGateway.now();
    }

    /** Returns the input of the choice of an engine; only for requests to engines. */
    PromptPlacement.PlacementRequest placementRequest(Set<BackendServer> excluded) {
        return new PromptPlacement.PlacementRequest(
                mService.get(),
                mPrompt.get(),
                cacheGroup(),
                Long.toHexString(mGateway.random().nextLong()),
                mGateway.routeTable().map(RouteTable::cacheStores).orElseGet(CacheStores::none),
                Set.copyOf(excluded));
    }

    /**
     * Returns the request as it is sent to one server.
     *
     * @param destination the server and the KV cache to use there
     * @param lastEvent the identifier of the last event that the caller received, if a stream
     *     resumes
     * @param runSource the engine that keeps the KV cache of the run, if a stopped run continues
     */
    FullHttpRequest backendRequest(
            ServerPlacement.Destination destination,
            Optional<String> lastEvent,
            Optional<String> runSource) {
        BackendRequestBuilder builder =
                new BackendRequestBuilder(
                        mGateway.headerNames(), mRequest, mTeam, mPrompt.isPresent());
        return builder.build(
                new BackendRequestBuilder.Dispatch(
                        destination.server().name(),
                        Math.max(1, remainingMilliseconds()),
                        lastEvent,
                        runSource,
                        destination.scope(),
                        destination.cacheSource(),
                        destination.cacheTarget(),
                        priority()));
    }

    private String chooseService() {
        int totalWeight = mRoute.services().stream().mapToInt(WeightedService::weight).sum();
        int remainingWeight = mGateway.random().nextInt(totalWeight);
        for (WeightedService weighted : mRoute.services()) {
            remainingWeight -= weighted.weight();
            if (remainingWeight < 0) {
                return weighted.service();
            }
        }
        throw new IllegalStateException(
                "cannot choose a service, the weights of the route add up to " + totalWeight);
    }

    private long callerTimeoutMilliseconds() {
        String text = mRequest.headers().get(mGateway.headerNames().deadline(), "");
        try {
            return text.isEmpty() ? NO_DEADLINE_MILLISECONDS : Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            LogLine.info("deadline_unreadable")
                    .request(mRequest.identifier())
                    .with("text", text)
                    .write();
            return NO_DEADLINE_MILLISECONDS;
        }
    }

    /** Returns the name of the team; empty if the request needs no key. */
    String teamName() {
        return mTeam.map(TeamKeys::name).orElse("");
    }

    /** Returns the priority of the team, or that of the route if the team has none. */
    int priority() {
        int priority = mTeam.flatMap(TeamKeys::priority).orElse(mRoute.priority());
        return Math.clamp(priority, 0, LOWEST_PRIORITY);
    }

    /** Isolated teams have a cache group of their own, all other teams share one. */
    private String cacheGroup() {
        return mTeam.filter(TeamKeys::isolated).map(team -> "team-" + team.name()).orElse("shared");
    }
}
