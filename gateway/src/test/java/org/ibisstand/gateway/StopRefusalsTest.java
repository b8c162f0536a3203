package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against callers that are told to come back at once to the gateway that refuses them. */
class StopRefusalsTest {
    @ParameterizedTest
    @CsvSource({"0, 16", "16, 16", "90, 90"})
    void asManyCallersAsWereConnectedAreSentElsewhereAtOnce(int callers, int atOnce) {
        StopRefusals refusals = new StopRefusals();
        refusals.setCallers(callers);

        long sentAtOnce =
                IntStream.range(0, 1_000).filter(each -> refusals.isServedElsewhere()).count();

        assertThat(sentAtOnce).isEqualTo(atOnce);
    }

    @ParameterizedTest
    @CsvSource({"true, 0, 0", "false, 0.1, 0.4"})
    void aCallerThatIsSentBackHereWaits(boolean isElsewhere, double shortest, double longest) {
        String value = RetryAfter.headerValue(isElsewhere, 0, new SplittableRandom(1));

        assertThat(Double.parseDouble(value)).isAtLeast(shortest);
        assertThat(Double.parseDouble(value)).isAtMost(longest);
    }
}
