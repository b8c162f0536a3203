package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;

/**
 * Decides by its head whether a successful response on a stream route begins an event stream, or
 * goes on with one that broke off at another server.
 */
final class StreamContinuation {
    private static final String EVENT_STREAM = "text/event-stream";

    private StreamContinuation() {}

    /** What becomes of the response. */
    sealed interface Result permits EventStream, OtherResponse, Rejected {}

    /** Its events are forwarded as they arrive. */
    record EventStream() implements Result {}

    /** It is forwarded once it is complete; the caller has received nothing yet. */
    record OtherResponse() implements Result {}

    /**
     * It is dropped, as the caller has received a part of a stream.
     *
     * @param reason why it is not the rest of the stream
     */
    record Rejected(String reason) implements Result {}

    /**
     * Decides about a response.
     *
     * @param head the head of the response
     * @param isStarted whether a part of a stream was sent to the caller
     */
    static Result decide(HttpResponse head, boolean isStarted) {
        Optional<String> contradiction = contradiction(head);
        if (contradiction.isEmpty()) {
            return new EventStream();
        }
        return isStarted
                ? new Rejected(contradiction.get() + " inside a stream")
                : new OtherResponse();
    }

    /** Returns what contradicts an event stream. A missing content type does not. */
    private static Optional<String> contradiction(HttpResponse head) {
        if (!head.status().equals(HttpResponseStatus.OK)) {
            return Optional.of("status " + head.status().code());
        }
        boolean hasOtherType =
                head.headers().getAll(HttpHeaderNames.CONTENT_TYPE).stream()
                        .map(value -> value.split(";", 2)[0].strip())
                        .anyMatch(type -> !type.isEmpty() && !type.equalsIgnoreCase(EVENT_STREAM));
        return hasOtherType ? Optional.of("other content type") : Optional.empty();
    }
}
