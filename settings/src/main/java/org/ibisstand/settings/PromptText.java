package org.ibisstand.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The text that cache knowledge is computed over: one rendering of the prompt of a completions
 * request, the same in entry, agent and engine stand-in.
 *
 * <p>A chat is rendered as role, line break, content, line break for each message; a text
 * completion is its prompt. Only equal renderings share cache pieces, so a difference from the
 * engine's own template costs at most a hit.
 */
public final class PromptText {
    private PromptText() {}

    /**
     * Renders the prompt of a request body.
     *
     * @param body the parsed body of a chat or text completions request
     * @return the prompt, or nothing if the body has neither messages nor a prompt
     */
    public static Optional<String> of(JsonNode body) {
        JsonNode messages = body.path("messages");
        if (messages.isArray()) {
            return Optional.of(renderChat(messages));
        }
        JsonNode prompt = body.path("prompt");
        return prompt.isTextual() ? Optional.of(prompt.textValue()) : Optional.empty();
    }

    private static String renderChat(JsonNode messages) {
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            text.append(message.path("role").asText()).append('\n');
            appendContent(text, message.path("content"));
            text.append('\n');
        }
        return text.toString();
    }

    private static void appendContent(StringBuilder text, JsonNode content) {
        if (content.isArray()) {
            content.forEach(part -> text.append(part.path("text").asText()));
        } else {
            text.append(content.asText());
        }
    }
}
