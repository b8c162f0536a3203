package org.ibisstand.gateway;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/** A request that was admitted, and what its route, team and prompt ask for. */
final class AdmittedRequest {
    /** The last place in an engine's queue. */
    private static final int LEAST_URGENT = 9;

    /** Far behind every limit of a route, yet safe to add to a time. */
    private static final long NO_DEADLINE_MILLISECONDS = Long.MAX_VALUE / 2;

    private final Gateway mGateway;
    private final CallerRequest mRequest;
    private final Route mRoute;
    private final Optional<TeamKeys> mTeam;
    private final Optional<Prompt> mPrompt;
    private final Optional<RoutedService> mService;
    private final long mLimitAt;

    AdmittedRequest(Gateway gateway, CallerRequest request, Admission.Admitted admitted) {
        mGateway = gateway;
        mRequest = request;
        mRoute = admitted.route();
        mTeam = admitted.team();
        mPrompt = gateway.prompts().read(request.headers());
        mService = gateway.table().flatMap(table -> table.service(drawService()));
        mLimitAt =
                request.arrivedMilliseconds() + Math.min(mRoute.timeoutMilliseconds(), deadline());
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

    String serviceName() {
        return mService.map(RoutedService::name).orElse("");
    }

    /** Returns whether an engine is chosen by what it holds of the prompt. */
    boolean isForEngine() {
        return mPrompt.isPresent() && mService.flatMap(RoutedService::engine).isPresent();
    }

    /** Returns whether a run may go on at another engine. */
    boolean isMovable() {
        return isForEngine()
                && mService.flatMap(RoutedService::engine)
                        .filter(RoutedService.Engine::movesRuns)
                        .isPresent();
    }

    /** Returns the time at which nobody waits for the answer any more. */
    long limitAt() {
        return mLimitAt;
    }

    long leftMilliseconds() {
        return mLimitAt - mGateway.now();
    }

    /** Returns what is asked of the placement; only if the request is for an engine. */
    PromptPlacement.Task task(Set<BackendServer> tried) {
        return new PromptPlacement.Task(
                mService.get(),
                mPrompt.get(),
                cacheTeam(),
                Long.toHexString(mGateway.random().nextLong()),
                mGateway.table().flatMap(RouteTable::cacheStore),
                Set.copyOf(tried));
    }

    /**
     * Returns what one server gets.
     *
     * @param place the server and its cache
     * @param lastEvent the last event that the caller has, if a stream goes on
     * @param runSource where the memory of the run is that goes on, if one does
     */
    FullHttpRequest copyFor(
            Placement.Place place, Optional<String> lastEvent, Optional<String> runSource) {
        RequestCopy copy = new RequestCopy(mGateway.names(), mRequest, mTeam, mPrompt.isPresent());
        return copy.of(
                new RequestCopy.Dispatch(
                        place.server().name(),
                        Math.max(1, leftMilliseconds()),
                        lastEvent,
                        runSource,
                        place.scope(),
                        place.source(),
                        place.target(),
                        urgency()));
    }

    private String drawService() {
        int sum = mRoute.services().stream().mapToInt(WeightedService::weight).sum();
        int drawn = mGateway.random().nextInt(sum);
        for (WeightedService weighted : mRoute.services()) {
            drawn -= weighted.weight();
            if (drawn < 0) {
                return weighted.service();
            }
        }
        throw new IllegalStateException("the weights of a route add up to " + sum);
    }

    private long deadline() {
        String text = mRequest.headers().get(mGateway.names().deadline(), "");
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

    /** The priority of the team goes before that of the route. */
    private int urgency() {
        int priority = mTeam.flatMap(TeamKeys::priority).orElse(mRoute.priority());
        return Math.clamp(priority, 0, LEAST_URGENT);
    }

    /** Prompts of isolated teams share no cache with others. */
    private String cacheTeam() {
        return mTeam.filter(TeamKeys::isolated).map(team -> "team-" + team.name()).orElse("shared");
    }
}
