package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Reads a prompt from a header that lists the identifiers of its parts, all of one length. */
final class PromptHeader {
    static final String NAME = "x-prompt";

    /** Enough that the KV cache of a shared part is worth fetching. */
    private static final int PART_TOKENS = 600;

    private static final int OUTPUT_TOKENS = 10;

    /** The last part of a prompt with a long response begins so. */
    static final String LONG_RUN = "long";

    private static final int LONG_OUTPUT_TOKENS = 1_000;

    private PromptHeader() {}

    static Optional<Prompt> read(HttpHeaders headers) {
        List<Prompt.Part> parts = parts(headers.get(NAME));
        return Optional.of(
                new Prompt(
                        EngineHarness.MODEL,
                        parts.size() * PART_TOKENS,
                        parts.getLast().identifier().startsWith(LONG_RUN)
                                ? LONG_OUTPUT_TOKENS
                                : OUTPUT_TOKENS,
                        parts));
    }

    static List<Prompt.Part> parts(String text) {
        return Arrays.stream(text.split(","))
                .map(part -> new Prompt.Part(part, PART_TOKENS))
                .toList();
    }
}
