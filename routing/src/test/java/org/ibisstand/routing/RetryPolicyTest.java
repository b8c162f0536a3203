package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RetryPolicyTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Deadline DEADLINE = Deadline.in(Duration.ofSeconds(10), NOW);
    private static final Verdict OVERLOADED = new Verdict.NotRun(ErrorCode.OVERLOADED, "");
    private static final Verdict LOST = new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST, "");

    private static RetryPolicy policy(int budget) {
        return RetryPolicy.create(RetryBudget.create(0, 0, budget, NOW), new Random(1));
    }

    @ParameterizedTest
    @EnumSource(names = {"AGENT_UNREACHABLE", "AGENT_LEAVING", "BACKEND_UNREACHABLE"})
    void retriesAtOnceWithoutBudgetIfTheAttemptAddedNoLoad(ErrorCode code) {
        Verdict verdict = new Verdict.NotRun(code, "");
        assertThat(policy(0).backoff(verdict, false, 1, 2, DEADLINE, NOW)).hasValue(Duration.ZERO);
        assertThat(policy(0).backoff(verdict, false, 1, 0, DEADLINE, NOW)).isEmpty();
    }

    @Test
    void neverRetriesANonIdempotentRequestThatMayHaveRun() {
        assertThat(policy(5).backoff(LOST, false, 1, 5, DEADLINE, NOW)).isEmpty();
        assertThat(policy(5).backoff(LOST, true, 1, 5, DEADLINE, NOW)).isPresent();
    }

    @Test
    void takesARetryAfterOverloadFromTheBudget() {
        RetryPolicy policy = policy(1);
        assertThat(policy.backoff(OVERLOADED, true, 1, 5, DEADLINE, NOW)).isPresent();
        assertThat(policy.backoff(OVERLOADED, true, 2, 5, DEADLINE, NOW)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 40})
    void jittersOverABoundThatDoublesUpToAMaximum(int attempts) {
        RetryPolicy policy = policy(1000);
        long bound = Math.min(2_000, 20L << Math.min(attempts - 1, 10));
        long longest = 0;
        for (int repeat = 0; repeat < 500; repeat++) {
            Duration wait =
                    policy.backoff(OVERLOADED, true, attempts, 5, DEADLINE, NOW).orElseThrow();
            longest = Math.max(longest, wait.toMillis());
        }
        assertThat(longest).isAtMost(bound);
        assertThat(longest).isAtLeast(bound * 9 / 10 - 1);
    }

    @Test
    void honoursRetryAfterUnlessItExceedsTheDeadline() {
        Verdict overloadedForThreeSeconds =
                new Verdict.NotRun(ErrorCode.OVERLOADED, "", Optional.of(Duration.ofSeconds(3)));
        assertThat(policy(5).backoff(overloadedForThreeSeconds, true, 1, 5, DEADLINE, NOW))
                .hasValue(Duration.ofSeconds(3));
        Deadline near = Deadline.in(Duration.ofSeconds(2), NOW);
        assertThat(policy(5).backoff(overloadedForThreeSeconds, true, 1, 5, near, NOW)).isEmpty();
    }
}
