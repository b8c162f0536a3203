package org.ibisstand.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.ibisstand.base.CacheSalt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads the body of a completion request and writes the one that the engine gets. */
final class PromptReader {
    private final JsonMapper mMapper;

    private PromptReader(JsonMapper mapper) {
        mMapper = mapper;
    }

    static PromptReader create() {
        return new PromptReader(
                JsonMapper.builder()
                        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                        .build());
    }

    /**
     * Reads a body.
     *
     * @param body JSON as UTF-8
     * @throws IbisstandException with REQUEST_MALFORMED if it is no JSON object
     */
    ObjectNode read(byte[] body) {
        try {
            JsonNode node = mMapper.readTree(body);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw malformed("the body must be a JSON object");
        } catch (JsonProcessingException e) {
            throw malformed("the body is no JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("the body is no JSON");
        }
    }

    String model(ObjectNode body) {
        JsonNode model = body.path("model");
        if (!model.isTextual()) {
            throw malformed("$.model: a text is required");
        }
        return model.asText();
    }

    boolean isStream(ObjectNode body) {
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean() && !stream.isNull()) {
            throw malformed("$.stream: allowed are true and false");
        }
        return stream.asBoolean(false);
    }

    /** Returns the prompt as the engine will see it, in one text. */
    byte[] prompt(ObjectNode body) {
        if (body.has("messages")) {
            return chat(body.path("messages"));
        }
        JsonNode prompt = body.path("prompt");
        if (!prompt.isTextual()) {
            throw malformed("$.prompt: a text is required");
        }
        return prompt.asText().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the body for the engine: the caller's, under the salt that separates its cache.
     *
     * @param body the caller's body; changed by this call
     * @param salt separates teams and weights versions
     * @param stream whether the engine reports token counts at the end of an event stream
     */
    byte[] forEngine(ObjectNode body, CacheSalt salt, boolean stream) {
        // A caller's own salt or priority would reach into what other teams use.
        body.remove("priority");
        body.put("cache_salt", salt.value());
        if (stream) {
            body.withObjectProperty("stream_options").put("include_usage", true);
        }
        try {
            return mMapper.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IbisstandException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }

    private static byte[] chat(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("$.messages: an array with a message is required");
        }
        StringBuilder prompt = new StringBuilder();
        for (int index = 0; index < messages.size(); index++) {
            JsonNode message = messages.get(index);
            if (!message.path("role").isTextual()) {
                throw malformed("$.messages[" + index + "].role: a text is required");
            }
            prompt.append(message.path("role").asText()).append('\n');
            appendContent(prompt, message.path("content"), index);
            prompt.append('\n');
        }
        return prompt.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendContent(StringBuilder prompt, JsonNode content, int index) {
        if (content.isTextual()) {
            prompt.append(content.asText());
        } else if (content.isArray()) {
            content.forEach(part -> prompt.append(part.path("text").asText("")));
        } else if (!content.isNull()) {
            throw malformed("$.messages[" + index + "].content: a text is required");
        }
    }

    private static IbisstandException malformed(String message) {
        return new IbisstandException(ErrorCode.REQUEST_MALFORMED, message);
    }
}
