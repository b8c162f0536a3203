package org.ibisstand.agent;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import org.ibisstand.wire.message.Submit;

/** Adds the engine priority, which only the agent knows, to the body of a model request. */
final class EngineRequestBody {
    private static final char END_OF_OBJECT = '}';

    private EngineRequestBody() {}

    /**
     * Returns the request with the field {@code priority} in its JSON body.
     *
     * <p>The entry writes the body as one JSON object without this field, so the field is appended
     * to the object without parsing a long prompt again.
     *
     * @param submit the request as received from the entry
     * @param priority the priority; lower values are more urgent
     */
    static Submit withPriority(Submit submit, int priority) {
        if (submit.getModel().isEmpty()) {
            return submit;
        }
        ByteString body = submit.getBody();
        int lastIndex = body.size() - 1;
        if (lastIndex < 0 || body.byteAt(lastIndex) != END_OF_OBJECT) {
            return submit;
        }
        byte[] field = (",\"priority\":" + priority + "}").getBytes(StandardCharsets.UTF_8);
        ByteString extended = body.substring(0, lastIndex).concat(ByteString.copyFrom(field));
        return submit.toBuilder().setBody(extended).build();
    }
}
