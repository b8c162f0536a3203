package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CacheScopeTest {
    /** Two models with the same version had one salt, and engines had to tell them apart. */
    @ParameterizedTest
    @CsvSource({
        "shared, m, 1, shared, m, 2",
        "shared, m, 1, shared, n, 1",
        "shared, m, 1, team-shared, m, 1",
        "a, m/1/b, 1, 1/b/a, m, 1",
        "b/a, m, 1, a, m/b, 1"
    })
    void theSaltSeparatesGroupsModelsAndVersions(
            String group,
            String model,
            long version,
            String otherGroup,
            String otherModel,
            long otherVersion) {
        assertThat(CacheScope.of(group, model, version, "nonce").salt())
                .isNotEqualTo(CacheScope.of(otherGroup, otherModel, otherVersion, "nonce").salt());
    }

    @Test
    void theSaltIsUniqueToTheRequestWhileTheWeightsAreUnknown() {
        assertThat(CacheScope.of("shared", "m", 0, "first").salt())
                .isNotEqualTo(CacheScope.of("shared", "m", 0, "second").salt());
    }
}
