package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class NamedWeightsTest {
    private final NamedWeights mWeights = new NamedWeights();

    @Test
    void weightsAreOutOfDateSinceTheFirstNewerOnes() {
        mWeights.update(Map.of("m", 2L), 1_000);
        mWeights.update(Map.of("m", 3L), 4_000);
        mWeights.update(Map.of("m", 4L), 7_000);

        assertThat(mWeights.outdatedMilliseconds("m", 1, 8_000)).isEqualTo(7_000);
        assertThat(mWeights.outdatedMilliseconds("m", 3, 8_000)).isEqualTo(1_000);
        assertThat(mWeights.outdatedMilliseconds("m", 4, 8_000)).isEqualTo(0);
        assertThat(mWeights.newest("m")).isEqualTo(4);
    }
}
