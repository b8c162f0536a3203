package org.ibisstand.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;
import org.ibisstand.settings.Team;

/**
 * Enforces the limits of each team on concurrent requests and request rate at one entry.
 * Thread-safe.
 */
public final class TeamLimits {
    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(50);
    private static final double DURATION_SMOOTHING = 0.1;

    private final Clock mClock;
    private final Map<String, Usage> mUsages = new ConcurrentHashMap<>();

    private TeamLimits(Clock clock) {
        mClock = clock;
    }

    /**
     * Creates limits without any requests.
     *
     * @param clock the clock that times the rates
     */
    public static TeamLimits create(Clock clock) {
        return new TeamLimits(clock);
    }

    /**
     * Admits a request or refuses it. An admitted request must be released by {@link #release}.
     *
     * @param team the team with its current limits
     * @return the refusal with the time after which to retry, or empty if the request is admitted
     */
    public Optional<Verdict.NotRun> tryAcquire(Team team) {
        Instant now = mClock.instant();
        AtomicReference<Optional<Verdict.NotRun>> refusal = new AtomicReference<>(Optional.empty());
        mUsages.compute(
                team.name(),
                (name, previous) -> {
                    Usage usage =
                            previous == null
                                    ? Usage.initial(team, now)
                                    : previous.refilled(team, now);
                    refusal.set(usage.refusal(team));
                    return refusal.get().isPresent() ? usage : usage.started();
                });
        return refusal.get();
    }

    /**
     * Releases an admitted request.
     *
     * @param team the name of the team
     * @param duration how long the request was in progress
     */
    public void release(String team, Duration duration) {
        mUsages.computeIfPresent(team, (name, usage) -> usage.finished(duration));
    }

    /**
     * Returns the number of a team's requests in progress.
     *
     * @param team the name of the team
     */
    public int requestsInProgress(String team) {
        Usage usage = mUsages.get(team);
        return usage == null ? 0 : usage.inProgress();
    }

    /**
     * Removes the state of teams that are no longer configured and have no request in progress.
     *
     * @param teams the names of all configured teams
     */
    public void retainTeams(Set<String> teams) {
        mUsages.entrySet()
                .removeIf(
                        entry ->
                                !teams.contains(entry.getKey())
                                        && entry.getValue().inProgress() == 0);
    }

    private record Usage(int inProgress, TokenBucket bucket, Duration averageDuration) {
        static Usage initial(Team team, Instant now) {
            TokenBucket full = new TokenBucket(burst(team), now);
            return new Usage(0, full, MINIMUM_RETRY_AFTER);
        }

        /** Returns the bucket capacity: the requests of one second may arrive in one burst. */
        static double burst(Team team) {
            return Math.max(1, team.requestsPerSecond());
        }

        Usage refilled(Team team, Instant now) {
            TokenBucket refilled = bucket.refilled(team.requestsPerSecond(), burst(team), now);
            return new Usage(inProgress, refilled, averageDuration);
        }

        Usage started() {
            return new Usage(inProgress + 1, bucket.minusOne(), averageDuration);
        }

        Usage finished(Duration duration) {
            double averageNanoseconds =
                    averageDuration.toNanos() * (1 - DURATION_SMOOTHING)
                            + duration.toNanos() * DURATION_SMOOTHING;
            return new Usage(inProgress - 1, bucket, Duration.ofNanos((long) averageNanoseconds));
        }

        Optional<Verdict.NotRun> refusal(Team team) {
            if (inProgress >= team.maximumConcurrentRequests()) {
                int limit = Math.max(1, team.maximumConcurrentRequests());
                Duration untilRelease = averageDuration.dividedBy(limit);
                return Optional.of(
                        overLimit(
                                "the team has reached its limit: "
                                        + inProgress
                                        + " requests in progress",
                                untilRelease));
            }
            if (!bucket.hasToken()) {
                Duration untilToken = bucket.timeUntilToken(team.requestsPerSecond());
                return Optional.of(
                        overLimit("the team exceeds its requests per second", untilToken));
            }
            return Optional.empty();
        }

        private static Verdict.NotRun overLimit(String message, Duration predictedWait) {
            boolean isShort = predictedWait.compareTo(MINIMUM_RETRY_AFTER) < 0;
            Duration retryAfter = isShort ? MINIMUM_RETRY_AFTER : predictedWait;
            return new Verdict.NotRun(ErrorCode.TEAM_OVER_LIMIT, message, Optional.of(retryAfter));
        }
    }
}
