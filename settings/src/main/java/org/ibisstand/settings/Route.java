package org.ibisstand.settings;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * Where the requests of one host and path prefix go.
 *
 * @param name the name of the route, for logs
 * @param host the host that callers name
 * @param pathPrefix begins and ends with a slash; the longest that fits a path is taken
 * @param repetition what may be repeated
 * @param timeoutMilliseconds the longest time that a caller is kept waiting
 * @param objectiveMilliseconds the time within which an answer has its full worth; for streams,
 *     until the first event
 * @param priority zero is the most urgent
 * @param services where requests go, by weight
 * @param maximumAttempts how many backend servers one attempt of a caller may be sent to
 * @param open whether callers need no key
 * @param sharedPrompts whether requests carry prompts whose parts are worth keeping
 * @param longestPauseMilliseconds the longest pause between events of an answer in time; zero if
 *     the route has no streams
 */
public record Route(
        String name,
        String host,
        @Form(TextForm.PATH_PREFIX) String pathPrefix,
        Repetition repetition,
        @Range(from = 1, to = 86400000) long timeoutMilliseconds,
        @Range(from = 0, to = 86400000) long objectiveMilliseconds,
        int priority,
        @Range(from = 1, to = 1000) List<WeightedService> services,
        @Range(from = 1, to = 100) int maximumAttempts,
        boolean open,
        boolean sharedPrompts,
        @Range(from = 0, to = 86400000) long longestPauseMilliseconds) {
    /** Copies the list, so that a route never changes. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request may run more than once. */
    @JsonIgnore
    public boolean isIdempotent() {
        return repetition == Repetition.IDEMPOTENT || repetition == Repetition.RESUMABLE_STREAM;
    }

    /** Returns whether answers are streams of events. */
    @JsonIgnore
    public boolean isStream() {
        return repetition == Repetition.STREAM || repetition == Repetition.RESUMABLE_STREAM;
    }

    /** What may be repeated of a request. */
    public enum Repetition {
        /** The whole request. */
        IDEMPOTENT,
        /** Nothing; it runs once at most. */
        ONCE,
        /** Nothing; the answer is a stream of events. */
        STREAM,
        /** The stream, from the event where it broke off. */
        RESUMABLE_STREAM
    }

    /**
     * A service and its share of the requests.
     *
     * @param service the name of the service
     * @param weight its share, in proportion to the sum of all
     */
    public record WeightedService(String service, @Range(from = 0, to = 1000000) int weight) {}
}
