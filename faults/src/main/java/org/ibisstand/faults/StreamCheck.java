package org.ibisstand.faults;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;

/** Compares a streamed answer with the answer that follows from its prompt. */
final class StreamCheck {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();
    private static final String DATA = "data: ";
    private static final String END = "[DONE]";

    private StreamCheck() {}

    /** What a streamed answer is worth. */
    enum Result {
        /** It has its end marker and is what was expected. */
        WHOLE,
        /** It has no end marker, so that the caller sees that it failed. */
        VISIBLY_FAILED,
        /** It has its end marker but lacks a part. */
        CUT,
        /** It has its end marker but is the answer to something else. */
        CROSSED
    }

    static Result check(String body, String expected) {
        StringBuilder text = new StringBuilder();
        boolean ended = false;
        for (String line : body.split("\n")) {
            if (line.startsWith(DATA + END)) {
                ended = true;
            } else if (line.startsWith(DATA)) {
                text.append(textOf(line.substring(DATA.length())));
            }
        }
        if (!ended) {
            return Result.VISIBLY_FAILED;
        }
        String received = text.toString();
        if (received.equals(expected)) {
            return Result.WHOLE;
        }
        boolean begun = expected.startsWith(received) || isGapped(received, expected);
        return begun ? Result.CUT : Result.CROSSED;
    }

    private static boolean isGapped(String received, String expected) {
        String first = expected.split(" ", 2)[0];
        return received.startsWith(first);
    }

    private static String textOf(String event) {
        try {
            JsonNode choice = MAPPER.readTree(event).path("choices").path(0);
            return choice.path("text").asText("");
        } catch (JsonProcessingException e) {
            // A damaged event changes the text, which the comparison then finds.
            return event;
        }
    }
}
