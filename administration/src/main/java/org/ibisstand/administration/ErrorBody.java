package org.ibisstand.administration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.Verdict;

/** The JSON body of every error: code, message, what to do, and the verdict. */
public final class ErrorBody {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String NOT_RUN = "not-run";

    private ErrorBody() {}

    /**
     * Returns the body of an error that stopped a request before it ran.
     *
     * @param code what failed
     * @param message details for the reader, without secrets
     */
    public static byte[] of(ErrorCode code, String message) {
        return body(code, message, NOT_RUN);
    }

    /**
     * Returns the body of an error whose request has a verdict.
     *
     * @param verdict what is known about the request; a completed one has no error
     */
    public static Optional<byte[]> of(Verdict verdict) {
        return switch (verdict) {
            case Verdict.NotRun notRun ->
                    Optional.of(body(notRun.code(), notRun.message(), notRun.label()));
            case Verdict.MayHaveRun may ->
                    Optional.of(body(may.code(), may.message(), may.label()));
            case Verdict.Completed completed -> Optional.empty();
        };
    }

    private static byte[] body(ErrorCode code, String message, String verdict) {
        ObjectNode error = MAPPER.createObjectNode();
        error.put("code", code.name());
        error.put("message", message);
        error.put("action", code.action());
        error.put("verdict", verdict);
        ObjectNode body = MAPPER.createObjectNode();
        body.set("error", error);
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write an error", e);
        }
    }
}
