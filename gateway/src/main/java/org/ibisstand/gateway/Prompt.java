package org.ibisstand.gateway;

import java.util.List;

/**
 * What a caller says of its prompt.
 *
 * @param model the model that is asked for
 * @param promptTokens the length of the prompt
 * @param maximumOutputTokens the most tokens that the answer may have
 * @param parts the parts of the prompt in order; requests share the first ones
 */
public record Prompt(String model, int promptTokens, int maximumOutputTokens, List<Part> parts) {
    /** Copies the list, so that a prompt never changes. */
    public Prompt {
        parts = List.copyOf(parts);
    }

    /**
     * A part of a prompt.
     *
     * @param identifier the same for equal parts
     * @param tokens the length of the part
     */
    public record Part(String identifier, int tokens) {}

    /** Returns how many tokens other requests may share: all parts but the last. */
    int sharedTokens() {
        return tokensOf(parts.size());
    }

    /** Returns what requests that share all of the shared parts have in common. */
    String sharedKey() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).identifier();
    }

    /** Returns the identifiers of all parts but the last. */
    List<String> sharedParts() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).map(Part::identifier).toList();
    }

    /** Returns the length of the first shared parts. */
    int tokensOf(int heldParts) {
        int tokens = 0;
        for (int index = 0; index < Math.min(heldParts, parts.size() - 1); index++) {
            tokens += parts.get(index).tokens();
        }
        return tokens;
    }
}
