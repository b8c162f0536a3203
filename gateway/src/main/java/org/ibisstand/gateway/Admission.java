package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;

/** Decides whether a request may be served at all; a decision without input or output. */
sealed interface Admission {
    /** The name of a caller's key in its header. */
    String KEY_SCHEME = "Bearer ";

    /**
     * The request may be served.
     *
     * @param route where it goes
     * @param team who asks; empty on open routes and where callers carry no keys
     */
    record Admitted(Route route, Optional<TeamKeys> team) implements Admission {}

    /**
     * The request is refused and has not run.
     *
     * @param status what the caller is told
     * @param reason for the log
     */
    record Refused(HttpResponseStatus status, String reason) implements Admission {}

    /** Decides by the configuration in force, if there is one. */
    static Admission of(Optional<RouteTable> table, CallerRequest request) {
        if (table.isEmpty()) {
            return new Refused(HttpResponseStatus.SERVICE_UNAVAILABLE, "no_configuration");
        }
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        Optional<Route> route = table.get().find(host, request.path());
        if (route.isEmpty()) {
            return new Refused(HttpResponseStatus.NOT_FOUND, "no_route");
        }
        if (request.identifier().isEmpty()) {
            return new Refused(HttpResponseStatus.BAD_REQUEST, "no_request_identifier");
        }
        if (route.get().open() || !table.get().needsKeys()) {
            return new Admitted(route.get(), Optional.empty());
        }
        Optional<TeamKeys> team = key(request.headers()).flatMap(table.get()::teamOfKey);
        return team.isPresent()
                ? new Admitted(route.get(), team)
                : new Refused(HttpResponseStatus.UNAUTHORIZED, "unknown_key");
    }

    private static Optional<String> key(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        boolean isKey = value.regionMatches(true, 0, KEY_SCHEME, 0, KEY_SCHEME.length());
        return isKey ? Optional.of(value.substring(KEY_SCHEME.length()).strip()) : Optional.empty();
    }
}
