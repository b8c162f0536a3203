package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Set;

/**
 * Decides whether a response shows that its server did not execute the request. Pure computation,
 * performs no I/O.
 */
final class ServerRefusal {
    /** Statuses that tell a caller that its request did not run and never will. */
    private static final Set<HttpResponseStatus> PROMISES =
            Set.of(
                    HttpResponseStatus.REQUEST_TIMEOUT,
                    HttpResponseStatus.MISDIRECTED_REQUEST,
                    HttpResponseStatus.TOO_MANY_REQUESTS,
                    HttpResponseStatus.SERVICE_UNAVAILABLE);

    private ServerRefusal() {}

    /** Returns whether the server states that it did not execute this very request. */
    static boolean isProven(HttpResponse head, HeaderNames headerNames) {
        HttpStatusClass statusClass = head.status().codeClass();
        boolean isFailure =
                statusClass == HttpStatusClass.CLIENT_ERROR
                        || statusClass == HttpStatusClass.SERVER_ERROR;
        boolean statesRefusal =
                head.headers().contains(headerNames.notExecuted())
                        || head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
        return isFailure
                && statesRefusal
                && head.headers().contains(headerNames.requestIdentifier());
    }

    /** Returns whether a caller takes the status for a promise that its request did not run. */
    static boolean looksProven(HttpResponse head) {
        return PROMISES.contains(head.status());
    }
}
