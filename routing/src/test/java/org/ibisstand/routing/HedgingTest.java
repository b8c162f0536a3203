package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HedgingTest {
    private static final Instant NOW = Instant.EPOCH;

    private static Hedging after(int requests, double share) {
        Hedging hedging = Hedging.create(share, NOW);
        for (int request = 1; request <= requests; request++) {
            hedging.observed(Duration.ofMillis(request), NOW);
        }
        return hedging;
    }

    @ParameterizedTest
    @CsvSource({"true,true,true", "true,false,false", "false,true,false"})
    void hedgesOnlyIdempotentShortRequests(boolean idempotent, boolean isShort, boolean hedged) {
        Hedging hedging = after(200, 0.1);
        assertThat(hedging.delay(idempotent, isShort, NOW).isPresent()).isEqualTo(hedged);
    }

    @Test
    void waitsForALatePercentileOfRecentTimes() {
        Duration delay = after(200, 0.1).delay(true, true, NOW).orElseThrow();
        assertThat(delay).isAtLeast(Duration.ofMillis(190));
        assertThat(delay).isAtMost(Duration.ofMillis(210));
    }

    @Test
    void hedgesNothingWhileTooFewOrOnlyOldTimesAreKnown() {
        assertThat(after(10, 0.1).delay(true, true, NOW)).isEmpty();
        assertThat(after(200, 0.1).delay(true, true, NOW.plusSeconds(60))).isEmpty();
    }

    @Test
    void staysInsideItsShareOfTheRequests() {
        Hedging hedging = after(0, 0.05);
        int taken = 0;
        for (int request = 0; request < 10_000; request++) {
            hedging.observed(Duration.ofMillis(1), NOW);
            taken += hedging.take(NOW) ? 1 : 0;
        }
        assertThat(taken).isAtMost(10 + 500);
        assertThat(hedging.sent()).isEqualTo(taken);
    }
}
