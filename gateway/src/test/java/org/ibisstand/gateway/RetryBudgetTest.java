package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.ManualClock;
import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final int GATEWAY_COUNT = 7;

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final RetryBudget mBudget = new RetryBudget(0.2, 60, 10_000, mClock);

    @Test
    void allGatewaysTogetherStayWithinTheRetryLimitWhileEveryRequestFails() {
        int firstAttempts = 500;
        int retries = 0;
        for (int request = 0; request < firstAttempts; request++) {
            mBudget.recordRequest();
            retries += mBudget.tryAcquire(GATEWAY_COUNT) ? 1 : 0;
            mClock.advance(Duration.ofMillis(15));
        }
        assertThat(retries * GATEWAY_COUNT)
                .isAtMost((int) (0.2 * firstAttempts * GATEWAY_COUNT + 60));
        assertThat(retries).isAtLeast(firstAttempts / 10);
    }

    @Test
    void allowsRetriesAgainAfterTheWindow() {
        while (mBudget.tryAcquire(GATEWAY_COUNT)) {
            mClock.advance(Duration.ofMillis(1));
        }
        mClock.advance(Duration.ofSeconds(11));

        assertThat(mBudget.tryAcquire(GATEWAY_COUNT)).isTrue();
    }
}
