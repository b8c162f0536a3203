package org.ibisstand.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the token counts and the end marker in the last bytes of an engine's response. */
final class UsageScanner {
    private static final int TAIL_BYTES = 4096;
    private static final Pattern CACHED_TOKENS =
            Pattern.compile("\"cached_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final Pattern PROMPT_TOKENS =
            Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final String END_MARKER = "data: [DONE]";

    private byte[] mTail = new byte[0];

    void add(byte[] bytes) {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream(mTail.length + bytes.length);
        buffer.writeBytes(mTail);
        buffer.writeBytes(bytes);
        byte[] all = buffer.toByteArray();
        mTail = Arrays.copyOfRange(all, Math.max(0, all.length - TAIL_BYTES), all.length);
    }

    Optional<Integer> cachedTokens() {
        return lastMatch(CACHED_TOKENS);
    }

    Optional<Integer> promptTokens() {
        return lastMatch(PROMPT_TOKENS);
    }

    boolean hasEndMarker() {
        return tailText().contains(END_MARKER);
    }

    private Optional<Integer> lastMatch(Pattern pattern) {
        Matcher matcher = pattern.matcher(tailText());
        Optional<Integer> found = Optional.empty();
        while (matcher.find()) {
            found = Optional.of(Integer.parseInt(matcher.group(1)));
        }
        return found;
    }

    private String tailText() {
        return new String(mTail, StandardCharsets.UTF_8);
    }
}
