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
 * Holds each team to its concurrent requests and its rate at one entry. May be used by any thread.
 */
public final class TeamLimits {
    private static final Duration SHORTEST_RETURN = Duration.ofMillis(50);
    private static final double NEW_SHARE = 0.1;

    private final Clock mClock;
    private final Map<String, Use> mUses = new ConcurrentHashMap<>();

    private TeamLimits(Clock clock) {
        mClock = clock;
    }

    /**
     * Creates limits that nobody has used yet.
     *
     * @param clock times the rates
     */
    public static TeamLimits create(Clock clock) {
        return new TeamLimits(clock);
    }

    /**
     * Counts a request in, or refuses it. A request that is counted in must be counted out by
     * {@link #release}.
     *
     * @param team the team with the limits in force
     * @return the refusal with the time to return, or nothing if the request is counted in
     */
    public Optional<Verdict.NotRun> tryAcquire(Team team) {
        Instant now = mClock.instant();
        AtomicReference<Optional<Verdict.NotRun>> refusal = new AtomicReference<>(Optional.empty());
        mUses.compute(
                team.name(),
                (name, before) -> {
                    Use use = before == null ? Use.unused(team, now) : before.refilled(team, now);
                    refusal.set(use.refusal(team));
                    return refusal.get().isPresent() ? use : use.started();
                });
        return refusal.get();
    }

    /**
     * Counts a request out.
     *
     * @param team the team's name
     * @param duration how long it was in progress
     */
    public void release(String team, Duration duration) {
        mUses.computeIfPresent(team, (name, use) -> use.finished(duration));
    }

    /**
     * Returns a team's requests in progress.
     *
     * @param team the team's name
     */
    public int concurrent(String team) {
        Use use = mUses.get(team);
        return use == null ? 0 : use.concurrent();
    }

    /**
     * Forgets teams that the configuration does not name any more and that have no request.
     *
     * @param teams the names of the configuration in force
     */
    public void retainTeams(Set<String> teams) {
        mUses.entrySet()
                .removeIf(
                        entry ->
                                !teams.contains(entry.getKey())
                                        && entry.getValue().concurrent() == 0);
    }

    private record Use(int concurrent, TokenBucket bucket, Duration typical) {
        static Use unused(Team team, Instant now) {
            TokenBucket full = new TokenBucket(burst(team), now);
            return new Use(0, full, SHORTEST_RETURN);
        }

        /** A second's worth may come at once. */
        static double burst(Team team) {
            return Math.max(1, team.requestsPerSecond());
        }

        Use refilled(Team team, Instant now) {
            TokenBucket later = bucket.refilled(team.requestsPerSecond(), burst(team), now);
            return new Use(concurrent, later, typical);
        }

        Use started() {
            return new Use(concurrent + 1, bucket.minusOne(), typical);
        }

        Use finished(Duration duration) {
            double mixed = typical.toNanos() * (1 - NEW_SHARE) + duration.toNanos() * NEW_SHARE;
            return new Use(concurrent - 1, bucket, Duration.ofNanos((long) mixed));
        }

        Optional<Verdict.NotRun> refusal(Team team) {
            if (concurrent >= team.maximumConcurrentRequests()) {
                int limit = Math.max(1, team.maximumConcurrentRequests());
                Duration untilOneEnds = typical.dividedBy(limit);
                return Optional.of(
                        refused("the team has " + concurrent + " in progress", untilOneEnds));
            }
            if (!bucket.hasOne()) {
                Duration untilOne = bucket.untilOne(team.requestsPerSecond());
                return Optional.of(refused("the team is over its requests a second", untilOne));
            }
            return Optional.empty();
        }

        private static Verdict.NotRun refused(String message, Duration wait) {
            boolean isShort = wait.compareTo(SHORTEST_RETURN) < 0;
            Duration retryAfter = isShort ? SHORTEST_RETURN : wait;
            return new Verdict.NotRun(ErrorCode.TEAM_OVER_LIMIT, message, Optional.of(retryAfter));
        }
    }
}
