package org.ibisstand.administration;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** What an administration server answers: the common routes, and those that a daemon adds. */
public final class AdministrationRoutes {
    private static final String GET = "GET";
    private static final int NOT_READY_STATUS = 503;

    private final Map<String, Map<String, AdministrationHandler>> mHandlers = new TreeMap<>();
    private final Readiness mReadiness;

    private AdministrationRoutes(Readiness readiness) {
        mReadiness = readiness;
    }

    /**
     * Returns the routes that every process has.
     *
     * @param readiness says whether the process wants new work
     * @param state supplies the state dump
     * @param metrics the registry that the metrics page shows
     */
    public static AdministrationRoutes create(
            Readiness readiness, StateSource state, MetricRegistry metrics) {
        AdministrationRoutes routes = new AdministrationRoutes(readiness);
        StateDump dump = StateDump.create();
        routes.route(GET, "/state", request -> state.state().thenApply(dump::render));
        JsonMapper mapper = metricsMapper();
        routes.route(GET, "/metrics", request -> metricsPage(mapper, metrics));
        return routes;
    }

    /**
     * Adds a route; all added routes need the operators' token.
     *
     * @param method the HTTP method
     * @param path the whole path, beginning with a slash
     * @param handler answers the requests
     * @return these routes
     */
    public AdministrationRoutes route(String method, String path, AdministrationHandler handler) {
        mHandlers.computeIfAbsent(path, unused -> new TreeMap<>()).put(method, handler);
        return this;
    }

    /** Answers a request that needs no token, or nothing if the path needs one. */
    Optional<AdministrationResponse> answerOpenly(String method, String path) {
        return switch (path) {
            case "/health" -> Optional.of(AdministrationResponse.ok("{\"healthy\":true}"));
            case "/ready" -> Optional.of(readiness());
            default -> Optional.empty();
        };
    }

    /** Finds the handler of a route. */
    AdministrationHandler find(String method, String path) {
        Map<String, AdministrationHandler> methods = mHandlers.get(path);
        if (methods == null) {
            throw new IbisstandException(
                    ErrorCode.NOT_FOUND, "unknown path; known are " + mHandlers.keySet());
        }
        AdministrationHandler handler = methods.get(method);
        if (handler == null) {
            throw new IbisstandException(
                    ErrorCode.METHOD_NOT_ALLOWED, "allowed are " + methods.keySet());
        }
        return handler;
    }

    private AdministrationResponse readiness() {
        Optional<String> reason = mReadiness.reasonAgainst();
        if (reason.isEmpty()) {
            return AdministrationResponse.ok("{\"ready\":true}");
        }
        byte[] body =
                JsonMapper.builder()
                        .build()
                        .createObjectNode()
                        .put("ready", false)
                        .put("reason", reason.get())
                        .toString()
                        .getBytes(StandardCharsets.UTF_8);
        return new AdministrationResponse(NOT_READY_STATUS, body);
    }

    private static CompletableFuture<AdministrationResponse> metricsPage(
            JsonMapper mapper, MetricRegistry metrics) {
        try {
            byte[] body = mapper.writeValueAsBytes(metrics);
            return CompletableFuture.completedFuture(AdministrationResponse.ok(body));
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write the metrics", e);
        }
    }

    private static JsonMapper metricsMapper() {
        boolean showSamples = false;
        return JsonMapper.builder()
                .addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, showSamples))
                .build();
    }
}
