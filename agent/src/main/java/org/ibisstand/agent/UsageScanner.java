package org.ibisstand.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the token counts and the end mark in the last bytes of an engine's answer. */
final class UsageScanner {
    private static final int TAIL_BYTES = 4096;
    private static final Pattern CACHED_TOKENS =
            Pattern.compile("\"cached_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final Pattern PROMPT_TOKENS =
            Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,9})");
    private static final String END_MARK = "data: [DONE]";

    private byte[] mTail = new byte[0];

    void add(byte[] bytes) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(mTail.length + bytes.length);
        joined.writeBytes(mTail);
        joined.writeBytes(bytes);
        byte[] all = joined.toByteArray();
        mTail = Arrays.copyOfRange(all, Math.max(0, all.length - TAIL_BYTES), all.length);
    }

    Optional<Integer> cachedTokens() {
        return last(CACHED_TOKENS);
    }

    Optional<Integer> promptTokens() {
        return last(PROMPT_TOKENS);
    }

    boolean sawEndMark() {
        return text().contains(END_MARK);
    }

    private Optional<Integer> last(Pattern pattern) {
        Matcher matcher = pattern.matcher(text());
        Optional<Integer> found = Optional.empty();
        while (matcher.find()) {
            found = Optional.of(Integer.parseInt(matcher.group(1)));
        }
        return found;
    }

    private String text() {
        return new String(mTail, StandardCharsets.UTF_8);
    }
}
