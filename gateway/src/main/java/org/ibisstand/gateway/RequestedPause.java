package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import org.ibisstand.base.RetryAfterHeader;

/**
 * For how long a backend server wants no requests, by the head of its response. Pure computation,
 * performs no I/O.
 */
sealed interface RequestedPause {
    /** The server asks for no pause. */
    record None() implements RequestedPause {}

    /** The header has no time ahead in seconds, so the server asks for no pause. */
    record Unreadable(String text) implements RequestedPause {}

    /** The server wants no requests for this time. */
    record Pause(long milliseconds) implements RequestedPause {}

    /** Reads a 503 response; of several values the longest counts. */
    static RequestedPause of(HttpResponse head) {
        List<String> values = head.headers().getAll(HttpHeaderNames.RETRY_AFTER);
        if (values.isEmpty() || !head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return new None();
        }
        long milliseconds = RetryAfterHeader.milliseconds(values);
        return milliseconds > 0
                ? new Pause(milliseconds)
                : new Unreadable(String.join(", ", values));
    }
}
