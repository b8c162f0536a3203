package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.AgentIdentifier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerObservationsTest {
    private static final AgentIdentifier AGENT = new AgentIdentifier("agent-1");
    private static final Duration EXPECTED = Duration.ofMillis(500);
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    private final SlownessTracker mObservations = SlownessTracker.create();

    private void work(Duration observed, Instant end) {
        TrackedOperation work = mObservations.started(AGENT, EXPECTED, end.minus(observed));
        mObservations.completed(work, end);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void tellsTheFactorThatWorkTookLonger(int factor) {
        for (int repeat = 0; repeat < 20; repeat++) {
            work(EXPECTED.multipliedBy(factor), NOW);
        }
        double slowness = mObservations.slowness(AGENT, NOW);
        assertThat(slowness).isAtLeast(1 + (factor - 1) * 0.9);
        assertThat(slowness).isAtMost(factor);
    }

    @Test
    void countsLateWorkBeforeItEnds() {
        mObservations.started(AGENT, EXPECTED, NOW);
        assertThat(mObservations.slowness(AGENT, NOW.plusMillis(400))).isEqualTo(1.0);
        assertThat(mObservations.slowness(AGENT, NOW.plusMillis(2_500))).isGreaterThan(3.0);
    }

    @Test
    void returnsToNormalSecondsAfterTheLastObservation() {
        work(EXPECTED.multipliedBy(10), NOW);
        assertThat(mObservations.slowness(AGENT, NOW.plusSeconds(10))).isLessThan(1.05);
    }

    @Test
    void returnsAtOnceWhenWorkIsInTimeAgain() {
        work(EXPECTED.multipliedBy(5), NOW);
        double before = mObservations.slowness(AGENT, NOW);
        for (int repeat = 0; repeat < 5; repeat++) {
            work(EXPECTED, NOW.plusMillis(100));
        }
        double after = mObservations.slowness(AGENT, NOW.plusMillis(100));
        assertThat(after - 1).isLessThan((before - 1) / 2);
    }

    @Test
    void ignoresCancelledWorkThatWasNotLate() {
        TrackedOperation work = mObservations.started(AGENT, EXPECTED, NOW);
        mObservations.cancelled(work, NOW.plusMillis(100));
        assertThat(mObservations.slowness(AGENT, NOW.plusSeconds(5))).isEqualTo(1.0);
    }
}
