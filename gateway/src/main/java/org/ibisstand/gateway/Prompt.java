package org.ibisstand.gateway;

import java.util.List;

/**
 * A caller's description of its prompt.
 *
 * @param model the name of the requested model
 * @param promptTokens the length of the prompt in tokens
 * @param maximumOutputTokens the maximum length of the response in tokens
 * @param parts the parts of the prompt in order; requests may share all but the last
 */
public record Prompt(String model, int promptTokens, int maximumOutputTokens, List<Part> parts) {
    /** Copies the list, which makes the prompt immutable. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * A part of a prompt.
     *
     * @param identifier an identifier that equal parts share
     * @param tokens the length of the part in tokens
     */
    public record Part(String identifier, int tokens) {}

    /**
     * Returns the length in tokens of the prefix that requests may share: all but the last part.
     */
    int prefixTokens() {
        return prefixTokens(parts.size());
    }

    /** Returns the identifier of the last part of the prefix; empty if there is no prefix. */
    String prefixKey() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).identifier();
    }

    /** Returns the identifiers of the parts of the prefix: all but the last part. */
    List<String> prefixParts() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(Part::identifier).toList();
    }

    /** Returns the length in tokens of the first parts of the prefix. */
    int prefixTokens(int partCount) {
        int tokens = 0;
        for (int index = 0; index < Math.min(partCount, parts.size() - 1); index++) {
            tokens += parts.get(index).tokens();
        }
        return tokens;
    }
}
