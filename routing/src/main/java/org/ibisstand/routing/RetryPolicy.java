package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibisstand.base.Verdict;

/**
 * Decides whether and when a failed attempt is followed by another.
 *
 * <p>An attempt that could not reach its agent or was turned away by one that is leaving costs the
 * fleet nothing, so the next agent is tried at once. Every other attempt is paid from the budget
 * and waits a random time that doubles with each attempt.
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
     * Creates a policy.
     *
     * @param budget pays for attempts that load the fleet
     * @param random the source of jitter, safe for all threads that use the policy
     */
    public static RetryPolicy create(RetryBudget budget, RandomGenerator random) {
        return new RetryPolicy(budget, random);
    }

    /**
     * Returns how long to wait before the next attempt, or nothing if there must be none.
     *
     * @param verdict what the last attempt came to
     * @param idempotent whether the request may run more than once
     * @param attempts how many attempts were made, at least one
     * @param untriedAgents how many agents that could serve the request have not been tried
     * @param deadline when an answer is worth nothing
     * @param now the present
     */
    public Optional<Duration> backoff(
            Verdict verdict,
            boolean idempotent,
            int attempts,
            int untriedAgents,
            Deadline deadline,
            Instant now) {
        if (!verdict.allowsRetry(idempotent) || deadline.isOver(now)) {
            return Optional.empty();
        }
        if (untriedAgents > 0 && costsNothing(verdict)) {
            return Optional.of(Duration.ZERO);
        }
        Duration wait = longer(jitter(attempts), retryAfter(verdict));
        boolean inTime = wait.compareTo(deadline.timeLeft(now)) < 0;
        return inTime && mBudget.tryAcquire(now) ? Optional.of(wait) : Optional.empty();
    }

    private static boolean costsNothing(Verdict verdict) {
        return verdict instanceof Verdict.NotRun notRun
                && switch (notRun.code()) {
                    case AGENT_UNREACHABLE, AGENT_LEAVING, BACKEND_UNREACHABLE, BOOT_MISMATCH ->
                            true;
                    default -> false;
                };
    }

    private Duration jitter(int attempts) {
        int doublings = Math.min(attempts - 1, MAXIMUM_DOUBLINGS);
        Duration grown = FIRST_BACKOFF.multipliedBy(1L << doublings);
        long bound = Math.min(grown.toNanos(), MAXIMUM_BACKOFF.toNanos());
        return Duration.ofNanos(mRandom.nextLong(bound + 1));
    }

    private static Duration retryAfter(Verdict verdict) {
        return verdict instanceof Verdict.NotRun notRun
                ? notRun.retryAfter().orElse(Duration.ZERO)
                : Duration.ZERO;
    }

    private static Duration longer(Duration left, Duration right) {
        return left.compareTo(right) < 0 ? right : left;
    }
}
