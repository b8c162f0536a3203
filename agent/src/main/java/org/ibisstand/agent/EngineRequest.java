package org.ibisstand.agent;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.ibisstand.wire.message.Submit;

/** Adds to the body of a model request what only the agent knows. */
final class EngineRequest {
    private static final char END_OF_OBJECT = '}';

    private EngineRequest() {}

    /**
     * Returns the request with the priority that the engine is to give it.
     *
     * <p>The entry writes the body as one JSON object without a priority, so the field can be put
     * at its end without reading a long prompt again.
     *
     * @param submit the request as the entry sent it
     * @param priority lower is more urgent
     */
    static Submit withPriority(Submit submit, int priority) {
        if (submit.getModel().isEmpty()) {
            return submit;
        }
        ByteString body = submit.getBody();
        int last = body.size() - 1;
        if (last < 0 || body.byteAt(last) != END_OF_OBJECT) {
            return submit;
        }
        byte[] field = (",\"priority\":" + priority + "}").getBytes(StandardCharsets.UTF_8);
        ByteString extended = body.substring(0, last).concat(ByteString.copyFrom(field));
        return submit.toBuilder().setBody(extended).build();
    }
}
