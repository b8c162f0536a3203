package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.AgentIdentifier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SlownessTrackerTest {
    private static final AgentIdentifier AGENT = new AgentIdentifier("agent-1");
    private static final Duration EXPECTED = Duration.ofMillis(500);
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    private final SlownessTracker mSlownessTracker = SlownessTracker.create();

    private void observe(Duration observed, Instant end) {
        TrackedOperation operation = mSlownessTracker.started(AGENT, EXPECTED, end.minus(observed));
        mSlownessTracker.completed(operation, end);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void measuresTheRatioOfObservedToExpectedTime(int factor) {
        for (int repeat = 0; repeat < 20; repeat++) {
            observe(EXPECTED.multipliedBy(factor), NOW);
        }
        double slowness = mSlownessTracker.slowness(AGENT, NOW);
        assertThat(slowness).isAtLeast(1 + (factor - 1) * 0.9);
        assertThat(slowness).isAtMost(factor);
    }

    @Test
    void countsLateWorkBeforeItEnds() {
        mSlownessTracker.started(AGENT, EXPECTED, NOW);
        assertThat(mSlownessTracker.slowness(AGENT, NOW.plusMillis(400))).isEqualTo(1.0);
        assertThat(mSlownessTracker.slowness(AGENT, NOW.plusMillis(2_500))).isGreaterThan(3.0);
    }

    @Test
    void decaysToNormalWithinSeconds() {
        observe(EXPECTED.multipliedBy(10), NOW);
        assertThat(mSlownessTracker.slowness(AGENT, NOW.plusSeconds(10))).isLessThan(1.05);
    }

    @Test
    void recoversOnceWorkIsInTimeAgain() {
        observe(EXPECTED.multipliedBy(5), NOW);
        double before = mSlownessTracker.slowness(AGENT, NOW);
        for (int repeat = 0; repeat < 5; repeat++) {
            observe(EXPECTED, NOW.plusMillis(100));
        }
        double after = mSlownessTracker.slowness(AGENT, NOW.plusMillis(100));
        assertThat(after - 1).isLessThan((before - 1) / 2);
    }

    @Test
    void ignoresCancelledWorkThatWasNotLate() {
        TrackedOperation operation = mSlownessTracker.started(AGENT, EXPECTED, NOW);
        mSlownessTracker.cancelled(operation, NOW.plusMillis(100));
        assertThat(mSlownessTracker.slowness(AGENT, NOW.plusSeconds(5))).isEqualTo(1.0);
    }
}
