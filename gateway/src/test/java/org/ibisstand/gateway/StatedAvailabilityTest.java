package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;

class StatedAvailabilityTest {
    private static final long SPREAD_MILLISECONDS = 250;

    private final StatedAvailability mAvailability =
            new StatedAvailability(new SplittableRandom(1));

    @Test
    void aShorterPauseDoesNotEndALongerOne() {
        mAvailability.recordPause(2_000, 0);
        mAvailability.recordPause(100, 50);

        assertThat(mAvailability.isPaused(1_999)).isTrue();
    }

    @Test
    void aLateResponseWithoutAPauseDoesNotEndIt() {
        mAvailability.recordPause(2_000, 0);
        mAvailability.recordNoPause(10);

        assertThat(mAvailability.wantsRequest(1_999)).isFalse();
    }

    @Test
    void requestsAreTriedOneAtATimeUntilOneIsAnswered() {
        Attempt first = attempt();
        Attempt second = attempt();
        mAvailability.recordPause(100, 0);
        long now = 100 + SPREAD_MILLISECONDS;
        assertThat(mAvailability.wantsRequest(now)).isTrue();

        mAvailability.attemptSent(first, now);
        assertThat(mAvailability.wantsRequest(now)).isFalse();
        mAvailability.attemptEnded(first);
        assertThat(mAvailability.wantsRequest(now)).isTrue();
        mAvailability.attemptSent(second, now);
        mAvailability.recordNoPause(now);

        assertThat(mAvailability.wantsRequest(now)).isTrue();
    }

    /** Requests that were in progress when the server asked for the pause are no trial. */
    @Test
    void requestsInProgressDoNotPreventATrial() {
        mAvailability.attemptSent(attempt(), 0);
        mAvailability.recordPause(100, 1);

        assertThat(mAvailability.wantsRequest(101 + SPREAD_MILLISECONDS)).isTrue();
    }

    @Test
    void gatewaysDoNotComeBackInTheSameInstant() {
        List<Long> pauses = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int gateway = 0; gateway < 8; gateway++) {
            StatedAvailability availability = new StatedAvailability(random.split());
            availability.recordPause(1_000, 0);
            pauses.add(availability.pauseMilliseconds(0));
        }

        assertThat(pauses.stream().distinct().count()).isAtLeast(6);
        assertThat(pauses.stream().min(Long::compare).get()).isAtLeast(1_000);
        assertThat(pauses.stream().max(Long::compare).get()).isAtMost(1_000 + SPREAD_MILLISECONDS);
    }

    private static Attempt attempt() {
        StatedAvailability availability = new StatedAvailability(new SplittableRandom(1));
        ServerRecord record =
                ServerRecord.newBuilder().setServer("s").setAddress("10.0.0.1:1").build();
        return Samples.unsentAttempt(new BackendServer(record, availability));
    }
}
