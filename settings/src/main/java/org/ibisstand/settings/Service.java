package org.ibisstand.settings;

import java.util.List;

/**
 * A plain service beside the models.
 *
 * @param name the name in the path that callers use
 * @param priorityClass the class of its requests
 * @param calls which calls may run more than once; the first that matches decides
 */
public record Service(
        @Form(TextForm.NAME) String name,
        @Form(TextForm.NAME) String priorityClass,
        @Range(from = 0, to = 256) List<Call> calls) {
    private static final String ANY = "*";

    /** Copies the list, so that a service never changes. */
    public Service {
        calls = List.copyOf(calls);
    }

    /**
     * Says whether a call may run more than once; a call that nothing matches may not.
     *
     * @param method the HTTP method
     * @param path the path below the service, beginning with a slash
     */
    public boolean isIdempotent(String method, String path) {
        return calls.stream()
                .filter(call -> call.matches(method, path))
                .findFirst()
                .map(Call::idempotent)
                .orElse(false);
    }

    /**
     * Declares the calls of some method and path.
     *
     * @param method an HTTP method, or an asterisk for all
     * @param pathPrefix the beginning of the paths meant
     * @param idempotent whether such a call may run more than once
     */
    public record Call(
            @Form(TextForm.METHOD) String method,
            @Form(TextForm.PATH_PREFIX) String pathPrefix,
            boolean idempotent) {
        boolean matches(String actualMethod, String path) {
            boolean methodMatches = method.equals(ANY) || method.equals(actualMethod);
            return methodMatches && path.startsWith(pathPrefix);
        }
    }
}
