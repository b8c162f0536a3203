package org.ibisstand.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.ibisstand.settings.RoutedService;

/** Builds the headers of responses that the gateway gives in place of a backend server. */
final class OwnResponse {
    private OwnResponse() {}

    /**
     * Returns the headers of a response.
     *
     * @param gateway the gateway that responds
     * @param request the request
     * @param service the service of the request, if it has one
     * @param status the status of the response
     * @param retryAfter when the caller of a rejected request should retry, if that was decided
     */
    static HttpHeaders headers(
            GatewayContext gateway,
            CallerRequest request,
            Optional<RoutedService> service,
            HttpResponseStatus status,
            Optional<String> retryAfter) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!request.identifier().isEmpty()) {
            headers.set(gateway.headerNames().requestIdentifier(), request.identifier());
        }
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            headers.set("Retry-After", retryAfter.orElseGet(() -> gateway.retryAfter(service)));
        }
        if (status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)) {
            retryAfter.ifPresent(value -> headers.set("Retry-After", value));
        }
        return headers;
    }
}
