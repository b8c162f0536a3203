package org.ibisstand.gateway;

import java.util.Set;

/**
 * The names, in lower case, of the headers between callers, gateway and backend servers. The
 * components state what each header contains.
 *
 * @param requestIdentifier the identifier of a caller's attempt; backend servers repeat it in the
 *     response
 * @param deadline the remaining time in milliseconds that the caller, or the gateway, waits
 * @param team the team of the caller, for backend servers
 * @param expectedServer the name of the backend server that a request is for; others reject it
 * @param expectedWeights the weights version that a request is for; a server with others rejects it
 * @param cacheSalt the salt that separates cached prompts; only the same salt matches them
 * @param cacheSource the address that a backend server fetches cached prompts from
 * @param cacheTarget the address of the store that saves the prompt afterwards
 * @param priority the priority in the queue of an engine, 0 first
 * @param notExecuted any value; present in responses to requests that were not executed
 * @param signature a backend server's proof that a response is its own
 * @param serverLoad the running and waiting requests, slots and slowdown of a backend server
 * @param leaving 1 in the responses of a backend server that will stop soon
 * @param weights the version of the weights that a response was made with
 * @param lastEvent the identifier of the last event of a stream that the caller has
 * @param runSource in a request that resumes a run, the address of the engine that stopped the run
 *     and the handle of its KV cache
 * @param reserved the names of all headers that callers must not set
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
        String leaving,
        String weights,
        String lastEvent,
        String runSource,
        Set<String> reserved) {
    /** Copies the set, which makes the names immutable. */
    public HeaderNames {
        reserved = Set.copyOf(reserved);
    }
}
