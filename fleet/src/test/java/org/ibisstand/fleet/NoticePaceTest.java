package org.ibisstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NoticePaceTest {
    private static final int NOTICE_BYTES = 70;

    @ParameterizedTest
    @CsvSource({"0, 100", "6, 100", "10, 100", "34, 400", "600, 6000"})
    void whatAWatcherReceivesDoesNotGrowWithTheFleet(int engines, long milliseconds) {
        assertThat(NoticePace.pause(engines).toMillis()).isEqualTo(milliseconds);
        assertThat(engines * NOTICE_BYTES * 1_000L / milliseconds).isAtMost(8_000);
    }
}
