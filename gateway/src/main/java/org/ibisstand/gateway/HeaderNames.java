package org.ibisstand.gateway;

import java.util.Set;

/**
 * The names of the headers that callers, gateway and backend servers exchange, in lower case.
 *
 * @param requestIdentifier identifies one attempt of a caller; backend servers repeat it in their
 *     answers
 * @param deadline how many milliseconds the caller, or the gateway, still waits
 * @param team tells a backend server the team of the caller
 * @param expectedServer names the backend server that a request is meant for; another refuses it
 * @param expectedWeights names the weights that a request is meant for; other weights refuse it
 * @param cacheSalt separates cached prompts; they are found only under the same salt
 * @param cacheSource the address that a backend server fetches cached prompts from
 * @param cacheTarget the address of the store that keeps the prompt afterwards
 * @param priority orders the queue of an engine, 0 first
 * @param notExecuted present in answers of requests that did not run
 * @param signature a backend server's proof that an answer is its own
 * @param serverLoad running and waiting requests, slots and pace of a backend server
 * @param weights the version of the weights that made an answer
 * @param lastEvent the last event of a stream that the caller has
 * @param runSource the address of the engine that stopped a run, and the handle of its memory, in a
 *     request that goes on with the run
 * @param reserved all headers that callers must not set
 */
public record HeaderNames(
        String requestIdentifier,
        String deadline,
        String team,
        String expectedServer,
        String expectedWeights,
        String cacheSalt,
        String cacheSource,
        String cacheTarget,
        String priority,
        String notExecuted,
        String signature,
        String serverLoad,
        String weights,
        String lastEvent,
        String runSource,
        Set<String> reserved) {
    /** Copies the set, so that the names never change. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
