package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HedgingTest {
    private static final Instant NOW = Instant.EPOCH;

    private static Hedging hedgingAfter(int requests, double share) {
        Hedging hedging = Hedging.create(share, NOW);
        for (int request = 1; request <= requests; request++) {
            hedging.recordLatency(Duration.ofMillis(request), NOW);
        }
        return hedging;
    }

    @ParameterizedTest
    @CsvSource({"true,true,true", "true,false,false", "false,true,false"})
    void hedgesOnlyIdempotentShortRequests(boolean idempotent, boolean isShort, boolean isHedged) {
        Hedging hedging = hedgingAfter(200, 0.1);
        assertThat(hedging.delay(idempotent, isShort, NOW).isPresent()).isEqualTo(isHedged);
    }

    @ParameterizedTest
    @CsvSource({"0", "20", "40"})
    void delayIsUnaffectedBySlowedMinority(int slowedPercent) {
        Hedging hedging = Hedging.create(0.1, NOW);
        for (int request = 0; request < 1_000; request++) {
            boolean isSlowed = request % 100 < slowedPercent;
            hedging.recordLatency(Duration.ofMillis(isSlowed ? 500 : 100), NOW);
        }
        Duration delay = hedging.delay(true, true, NOW).orElseThrow();
        assertThat(delay).isAtLeast(Duration.ofMillis(149));
        assertThat(delay).isAtMost(Duration.ofMillis(170));
    }

    @Test
    void doesNotHedgeWithoutEnoughRecentLatencies() {
        assertThat(hedgingAfter(10, 0.1).delay(true, true, NOW)).isEmpty();
        assertThat(hedgingAfter(200, 0.1).delay(true, true, NOW.plusSeconds(60))).isEmpty();
    }

    @Test
    void staysWithinItsShareOfRequests() {
        Hedging hedging = hedgingAfter(0, 0.05);
        int taken = 0;
        for (int request = 0; request < 10_000; request++) {
            hedging.recordLatency(Duration.ofMillis(1), NOW);
            taken += hedging.tryAcquire(NOW) ? 1 : 0;
        }
        assertThat(taken).isAtMost(10 + 500);
        assertThat(hedging.sent()).isEqualTo(taken);
    }
}
