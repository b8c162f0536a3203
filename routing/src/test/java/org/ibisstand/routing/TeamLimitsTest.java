package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.Verdict;
import org.ibisstand.settings.Team;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TeamLimitsTest {
    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final TeamLimits mLimits = TeamLimits.create(mClock);

    private static Team team(int concurrent, double perSecond) {
        return new Team("buyers", List.of(), 1, concurrent, perSecond, List.of(), List.of());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 7})
    void limitsConcurrentRequests(int concurrent) {
        Team team = team(concurrent, 1000);
        for (int request = 0; request < concurrent; request++) {
            assertThat(mLimits.tryAcquire(team)).isEmpty();
        }
        Verdict.NotRun refusal = mLimits.tryAcquire(team).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ErrorCode.TEAM_OVER_LIMIT);
        assertThat(refusal.retryAfter().orElseThrow()).isGreaterThan(Duration.ZERO);
        assertThat(mLimits.requestsInProgress("buyers")).isEqualTo(concurrent);
    }

    @Test
    void admitsAgainAfterARequestEnds() {
        Team team = team(1, 1000);
        mLimits.tryAcquire(team);
        mLimits.release("buyers", Duration.ofMillis(10));
        assertThat(mLimits.tryAcquire(team)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 4, 100})
    void admitsAgainAfterRetryAfter(double perSecond) {
        Team team = team(10_000, perSecond);
        while (mLimits.tryAcquire(team).isEmpty()) {
            mLimits.release("buyers", Duration.ofMillis(1));
        }
        Duration retryAfter = mLimits.tryAcquire(team).orElseThrow().retryAfter().orElseThrow();
        mClock.advance(retryAfter.plusMillis(1));
        assertThat(mLimits.tryAcquire(team)).isEmpty();
    }

    @Test
    void refusesForAnHourIfTheRateIsZero() {
        Team team = team(5, 0);
        mLimits.tryAcquire(team);
        assertThat(mLimits.tryAcquire(team).orElseThrow().retryAfter())
                .hasValue(Duration.ofHours(1));
    }

    @Test
    void removesIdleTeamsThatAreNotConfigured() {
        mLimits.tryAcquire(team(5, 100));
        mLimits.retainTeams(Set.of());
        assertThat(mLimits.requestsInProgress("buyers")).isEqualTo(1);
        mLimits.release("buyers", Duration.ZERO);
        mLimits.retainTeams(Set.of());
        assertThat(mLimits.requestsInProgress("buyers")).isEqualTo(0);
    }
}
