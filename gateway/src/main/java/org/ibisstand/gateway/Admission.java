package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/** The decision whether a request may be served. Pure computation, performs no I/O. */
sealed interface Admission {
    /** Precedes the API key in the {@code Authorization} header. */
    String BEARER_PREFIX = "Bearer ";

    /**
     * The request may be served.
     *
     * @param route the route that matches the request
     * @param team the owner of the API key; empty on open routes and if no keys are configured
     */
    record Admitted(Route route, Optional<TeamKeys> team) implements Admission {}

    /**
     * The request is rejected without being sent to a backend server.
     *
     * @param status the HTTP status of the response
     * @param reason the reason as it is logged
     */
    record Rejected(HttpResponseStatus status, String reason) implements Admission {}

    /**
     * Decides by the current routing configuration.
     *
     * @param table the routes; empty if no configuration is known yet, which rejects every request
     * @param request the request of the caller
     */
    static Admission decide(Optional<RouteTable> table, CallerRequest request) {
        if (table.isEmpty()) {
            return new Rejected(HttpResponseStatus.SERVICE_UNAVAILABLE, "no_configuration");
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = table.get().findRoute(host, request.path());
        if (route.isEmpty()) {
            return new Rejected(HttpResponseStatus.NOT_FOUND, "no_route");
        }
        if (request.identifier().isEmpty()) {
            return new Rejected(HttpResponseStatus.BAD_REQUEST, "no_request_identifier");
        }
        if (route.get().open() || !table.get().requiresKeys()) {
            return new Admitted(route.get(), Optional.empty());
        }
        Optional<TeamKeys> team = bearerKey(request.headers()).flatMap(table.get()::teamForKey);
        return team.isPresent()
                ? new Admitted(route.get(), team)
                : new Rejected(HttpResponseStatus.UNAUTHORIZED, "unknown_key");
    }

    private static Optional<String> bearerKey(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        boolean hasBearerPrefix =
                value.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length());
        return hasBearerPrefix
                ? Optional.of(value.substring(BEARER_PREFIX.length()).strip())
                : Optional.empty();
    }
}
