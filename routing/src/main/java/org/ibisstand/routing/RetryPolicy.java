package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibisstand.base.Verdict;

/**
 * Decides whether and when a failed attempt is retried.
 *
 * <p>An attempt that did not reach its agent or backend server, or was refused by an agent that is
 * leaving or has restarted, adds no load, so the next agent is tried at once. Every other retry is
 * taken from the budget and is delayed by exponential backoff with full jitter.
 */
public final class RetryPolicy {
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(20);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(2);
    private static final int MAXIMUM_DOUBLINGS = 10;

    private final RetryBudget mBudget;
    private final RandomGenerator mRandom;

    private RetryPolicy(RetryBudget budget, RandomGenerator random) {
        mBudget = budget;
        mRandom = random;
    }

    /**
     * Creates a retry policy.
     *
     * @param budget limits the retries that add load
     * @param random the source of jitter; must be thread-safe if the policy is shared
     */
    public static RetryPolicy create(RetryBudget budget, RandomGenerator random) {
        return new RetryPolicy(budget, random);
    }

    /**
     * Returns the delay before the next attempt, or empty if the request must not be retried.
     *
     * @param verdict the outcome of the last attempt
     * @param idempotent whether the request may run more than once
     * @param attempts the number of attempts so far; at least one
     * @param untriedAgents the number of agents that could serve the request and were not tried
     * @param deadline when a response is no longer useful
     * @param now the current time
     */
    public Optional<Duration> backoff(
            Verdict verdict,
            boolean idempotent,
            int attempts,
            int untriedAgents,
            Deadline deadline,
            Instant now) {
        if (!verdict.allowsRetry(idempotent) || deadline.hasPassed(now)) {
            return Optional.empty();
        }
        if (untriedAgents > 0 && addsNoLoad(verdict)) {
            return Optional.of(Duration.ZERO);
        }
        Duration wait = maximum(jitteredBackoff(attempts), retryAfter(verdict));
        boolean isInTime = wait.compareTo(deadline.timeLeft(now)) < 0;
        return isInTime && mBudget.tryAcquire(now) ? Optional.of(wait) : Optional.empty();
    }

    private static boolean addsNoLoad(Verdict verdict) {
        return verdict instanceof Verdict.NotRun notRun
                && switch (notRun.code()) {
                    case AGENT_UNREACHABLE, AGENT_LEAVING, BACKEND_UNREACHABLE, BOOT_MISMATCH ->
                            true;
                    default -> false;
                };
    }

    private Duration jitteredBackoff(int attempts) {
        int doublings = Math.min(attempts - 1, MAXIMUM_DOUBLINGS);
        Duration doubled = FIRST_BACKOFF.multipliedBy(1L << doublings);
        long boundNanoseconds = Math.min(doubled.toNanos(), MAXIMUM_BACKOFF.toNanos());
        return Duration.ofNanos(mRandom.nextLong(boundNanoseconds + 1));
    }

    private static Duration retryAfter(Verdict verdict) {
        return verdict instanceof Verdict.NotRun notRun
                ? notRun.retryAfter().orElse(Duration.ZERO)
                : Duration.ZERO;
    }

    private static Duration maximum(Duration left, Duration right) {
        return left.compareTo(right) < 0 ? right : left;
    }
}
