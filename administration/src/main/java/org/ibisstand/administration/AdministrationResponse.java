package org.ibisstand.administration;

import java.nio.charset.StandardCharsets;
import org.ibisstand.base.ErrorCode;

/**
 * An answer to an operator.
 *
 * @param status the HTTP status
 * @param body the body as JSON in UTF-8
 */
public record AdministrationResponse(int status, byte[] body) {
    private static final int OK = 200;

    /**
     * Returns an answer of status 200.
     *
     * @param json the body, as JSON in UTF-8
     */
    public static AdministrationResponse ok(byte[] json) {
        return new AdministrationResponse(OK, json);
    }

    /**
     * Returns an answer of status 200.
     *
     * @param json the body, as JSON
     */
    public static AdministrationResponse ok(String json) {
        return ok(json.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns an answer that reports an error.
     *
     * @param code what failed
     * @param message details for the reader
     */
    public static AdministrationResponse error(ErrorCode code, String message) {
        return new AdministrationResponse(code.httpStatus(), ErrorBody.of(code, message));
    }
}
