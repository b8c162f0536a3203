package org.ibisstand.faults;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StreamCheckTest {
    private static final String EXPECTED = "m@1:ab w1 w2";

    @ParameterizedTest
    @CsvSource({
        "'m@1:ab| w1| w2|[DONE]', WHOLE",
        "'m@1:ab| w1', VISIBLY_FAILED",
        "'m@1:ab| w1|[DONE]', CUT",
        "'m@1:ab| w2|[DONE]', CUT",
        "'m@1:cd| w1| w2|[DONE]', CROSSED"
    })
    void tellsWhatAnAnswerIsWorth(String parts, StreamCheck.Result expected) {
        StringBuilder body = new StringBuilder();
        for (String part : parts.split("\\|")) {
            String event =
                    part.equals("[DONE]") ? part : "{\"choices\":[{\"text\":\"" + part + "\"}]}";
            body.append("data: ").append(event).append("\n\n");
        }
        assertThat(StreamCheck.check(body.toString(), EXPECTED)).isEqualTo(expected);
    }
}
