package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.regex.Pattern;

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

    /** Longer pauses count as this one; a server that meant more asks again at its end. */
    long MAXIMUM_MILLISECONDS = 3_600_000;

    /** Digits and a fraction; not what else Java takes for a number. */
    Pattern SECONDS = Pattern.compile("\\d+(\\.\\d*)?|\\.\\d+");

    double MILLISECONDS_PER_SECOND = 1_000;

    /** Reads a 503 response; of several values the longest counts. */
    static RequestedPause of(HttpResponse head) {
        List<String> values = head.headers().getAll(HttpHeaderNames.RETRY_AFTER);
        if (values.isEmpty() || !head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            return new None();
        }
        long milliseconds =
                values.stream().mapToLong(RequestedPause::milliseconds).max().getAsLong();
        return milliseconds > 0
                ? new Pause(milliseconds)
                : new Unreadable(String.join(", ", values));
    }

    private static long milliseconds(String value) {
        if (!SECONDS.matcher(value).matches()) {
            return 0;
        }
        double milliseconds = Math.ceil(Double.parseDouble(value) * MILLISECONDS_PER_SECOND);
        return (long) Math.min(MAXIMUM_MILLISECONDS, milliseconds);
    }
}
