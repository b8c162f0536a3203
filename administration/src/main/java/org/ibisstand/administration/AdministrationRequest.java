package org.ibisstand.administration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * A request of an operator, its token already checked.
 *
 * @param method the HTTP method
 * @param path the path without its query
 * @param query the decoded values of each key of the query
 * @param body the whole body, empty if there is none
 */
public record AdministrationRequest(
        String method, String path, Map<String, List<String>> query, byte[] body) {
    /**
     * Returns the first value of a key of the query.
     *
     * @param key the name of the key
     */
    public Optional<String> parameter(String key) {
        return query.getOrDefault(key, List.of()).stream().findFirst();
    }

    /**
     * Returns the first value of a key that the request must have.
     *
     * @param key the name of the key
     * @throws IbisstandException with REQUEST_MALFORMED if the key is missing
     */
    public String requireParameter(String key) {
        return parameter(key)
                .orElseThrow(
                        () ->
                                new IbisstandException(
                                        ErrorCode.REQUEST_MALFORMED,
                                        "the query needs the key '" + key + "'"));
    }
}
