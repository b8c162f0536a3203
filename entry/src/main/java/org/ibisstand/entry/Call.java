package org.ibisstand.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.settings.PriorityClass;
import org.ibisstand.settings.Team;
import org.ibisstand.wire.message.Header;

/**
 * A caller's request, read and checked.
 *
 * @param request names the request in logs and answers
 * @param team who calls
 * @param target what is called
 * @param method the HTTP method towards the backend server
 * @param path the path and query towards the backend server
 * @param headers the headers towards the backend server
 * @param body the body towards the backend server
 * @param priorityClass the class that the request is served in
 * @param received when it arrived
 * @param deadline when an answer is worth nothing any more
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey names a request that may run only once, so that it can be sent again
 */
record Call(
        String request,
        Team team,
        Target target,
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        PriorityClass priorityClass,
        Instant received,
        Instant deadline,
        boolean idempotent,
        Optional<String> idempotencyKey) {
    /** What a request is for. */
    sealed interface Target {
        /**
         * A prompt for a model.
         *
         * @param model the model's name
         * @param weightsVersion the weights in force when the request came
         * @param chain the prefix hashes of the prompt
         * @param stream whether the answer is an event stream
         */
        record Model(String model, String weightsVersion, PrefixChain chain, boolean stream)
                implements Target {}

        /**
         * A call to a plain service.
         *
         * @param service the service's name
         */
        record Service(String service) implements Target {}
    }

    /** Returns whether the request must be claimed at control before it is sent. */
    boolean needsClaim() {
        return !idempotent && idempotencyKey.isPresent();
    }

    /** Returns whether a second attempt may be sent when the first is late. */
    boolean mayBeHedged() {
        return idempotent && target instanceof Target.Service;
    }

    /** Returns whether the answer is an event stream. */
    boolean isStream() {
        return target instanceof Target.Model model && model.stream();
    }

    /** Returns the time until the deadline, at least zero. */
    Duration timeLeft(Instant now) {
        Duration left = Duration.between(now, deadline);
        return left.isNegative() ? Duration.ZERO : left;
    }
}
