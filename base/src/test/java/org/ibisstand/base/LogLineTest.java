package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LogLineTest {
    @ParameterizedTest
    @CsvSource({"plain,plain", "two words,\"two words\"", "a=b,\"a=b\"", "'',\"\""})
    void quotesValuesThatWouldBreakTheLine(String value, String written) {
        assertThat(LogLine.info("x").with("key", value).toString())
                .isEqualTo("event=x key=" + written);
    }

    @Test
    void staysOneLineWhateverTheValue() {
        String line = LogLine.info("x").with("key", "a\nb\r\"c\\").toString();

        assertThat(line).isEqualTo("event=x key=\"a\\nb \\\"c\\\\\"");
    }

    @Test
    void namesVerdictAndCode() {
        Verdict verdict = new Verdict.NotRun(ErrorCode.OVERLOADED, "busy");

        assertThat(LogLine.info("x").verdict(verdict).toString())
                .isEqualTo("event=x verdict=not-run code=OVERLOADED");
    }

    @Test
    void keepsACauseOnTheLine() {
        Throwable cause = new IllegalStateException("broken\nin two");

        String line = LogLine.error("x").cause(cause).toString();

        assertThat(line).doesNotContain("\n");
        assertThat(line).contains("broken\\nin two");
        assertThat(line).contains("at=org.ibisstand.base.LogLineTest.keepsACauseOnTheLine(");
    }
}
