package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class WeightsHistoryTest {
    private final WeightsHistory mHistory = new WeightsHistory();

    @Test
    void weightsAreStaleSinceTheFirstNewerVersion() {
        mHistory.update(Map.of("m", 2L), 1_000);
        mHistory.update(Map.of("m", 3L), 4_000);
        mHistory.update(Map.of("m", 4L), 7_000);

        assertThat(mHistory.staleMilliseconds("m", 1, 8_000)).isEqualTo(7_000);
        assertThat(mHistory.staleMilliseconds("m", 3, 8_000)).isEqualTo(1_000);
        assertThat(mHistory.staleMilliseconds("m", 4, 8_000)).isEqualTo(0);
        assertThat(mHistory.newest("m")).isEqualTo(4);
    }
}
