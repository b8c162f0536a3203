package org.ibisstand.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.ibisstand.base.CacheSalt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.settings.PromptText;

/**
 * What a caller asks of a fake engine.
 *
 * @param chat whether the chat form is used
 * @param model the name of the model
 * @param prompt the rendered prompt
 * @param salt separates cache entries, empty if the caller sent none
 * @param priority a lower number runs first
 * @param tokens how many tokens to answer
 * @param stream whether to answer with server-sent events
 * @param usageInStream whether a stream ends with the usage
 */
record CompletionRequest(
        boolean chat,
        String model,
        String prompt,
        CacheSalt salt,
        int priority,
        int tokens,
        boolean stream,
        boolean usageInStream) {
    private static final int DEFAULT_TOKENS = 16;
    private static final int MAXIMUM_TOKENS = 100_000;

    static CompletionRequest read(boolean chat, JsonNode body) {
        String prompt =
                PromptText.of(body)
                        .orElseThrow(
                                () ->
                                        new IbisstandException(
                                                ErrorCode.REQUEST_MALFORMED, "no prompt"));
        int limit =
                body.path("max_tokens")
                        .asInt(body.path("max_completion_tokens").asInt(DEFAULT_TOKENS));
        return new CompletionRequest(
                chat,
                body.path("model").asText(),
                prompt,
                new CacheSalt(body.path("cache_salt").asText()),
                body.path("priority").asInt(),
                Math.clamp(limit, 1, MAXIMUM_TOKENS),
                body.path("stream").asBoolean(),
                body.path("stream_options").path("include_usage").asBoolean());
    }

    PrefixChain chain(int pieceBytes) {
        return PrefixChain.of(salt, prompt.getBytes(StandardCharsets.UTF_8), pieceBytes);
    }
}
