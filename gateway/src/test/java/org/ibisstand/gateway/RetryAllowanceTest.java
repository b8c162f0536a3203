package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.ManualClock;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {
    private static final int ENTRIES = 7;

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final RetryAllowance mAllowance = new RetryAllowance(0.2, 60, 10_000, mClock);

    @Test
    void allEntriesTogetherStayWithinTheBoundWhileEverythingFails() {
        int first = 500;
        int repeated = 0;
        for (int request = 0; request < first; request++) {
            mAllowance.first();
            repeated += mAllowance.take(ENTRIES) ? 1 : 0;
            mClock.advance(Duration.ofMillis(15));
        }
        assertThat(repeated * ENTRIES).isAtMost((int) (0.2 * first * ENTRIES + 60));
        assertThat(repeated).isAtLeast(first / 10);
    }

    @Test
    void givesAllowanceBackAsTheWindowPasses() {
        while (mAllowance.take(ENTRIES)) {
            mClock.advance(Duration.ofMillis(1));
        }
        mClock.advance(Duration.ofSeconds(11));

        assertThat(mAllowance.take(ENTRIES)).isTrue();
    }
}
