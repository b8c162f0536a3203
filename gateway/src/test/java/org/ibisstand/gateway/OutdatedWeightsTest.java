package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutdatedWeightsTest {
    @ParameterizedTest
    @CsvSource({"10, false, true", "1000, false, true", "149, true, true", "150, true, false"})
    void onlyShortRunsFinishOnOutdatedWeights(
            int outputTokens, boolean isOutdated, boolean expected) {
        assertThat(OutdatedWeights.canFinish(outputTokens, isOutdated)).isEqualTo(expected);
    }
}
