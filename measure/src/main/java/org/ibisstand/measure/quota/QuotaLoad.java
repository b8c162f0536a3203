package org.ibisstand.measure.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.settings.TeamQuota;

/** A seeded load on quotas; the same for every contender. */
enum QuotaLoad {
    OVERLOADED_TEAMS(16),
    ONE_GATEWAY(1),
    MOVING_CALLERS(1);

    static final int GATEWAYS = 29;
    static final long DURATION_MILLISECONDS = 30_000;
    static final long STEP_MILLISECONDS = 10;
    static final TeamQuota QUOTA = new TeamQuota(276_891, 276_891, TeamQuota.Unit.TOKEN, 200);

    private static final long OVERLOAD_START_MILLISECONDS = 5_000;
    private static final int LONG_REQUEST = 9_203;
    private static final int SHORT_REQUEST = 899;

    private final int mTeams;

    QuotaLoad(int teams) {
        mTeams = teams;
    }

    int teams() {
        return mTeams;
    }

    /** Returns the requests of a seed in the order of their arrival. */
    List<Arrival> arrivals(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int overloadedTeams = this == OVERLOADED_TEAMS ? random.nextInt(1, 4) : 0;
        List<Arrival> arrivals = new ArrayList<>();
        for (int team = 0; team < mTeams; team++) {
            double factor = team < overloadedTeams ? random.nextDouble(4, 7) : 0;
            addTeam(team, factor, random.split(), arrivals);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::at));
        return arrivals;
    }

    /** Sends all that the quota allows, and later a multiple of the rate unless that is zero. */
    private void addTeam(int team, double factor, SplittableRandom random, List<Arrival> arrivals) {
        Bucket sent = new Bucket(QUOTA, 1, 0);
        double unsent = 0;
        long pauseEnd = 0;
        int units = SHORT_REQUEST;
        for (long now = 0; now < DURATION_MILLISECONDS; now += STEP_MILLISECONDS) {
            boolean isOverload = factor > 0 && now >= OVERLOAD_START_MILLISECONDS;
            unsent += isOverload ? factor * QUOTA.unitsPerSecond() * STEP_MILLISECONDS / 1_000 : 0;
            while (isOverload ? unsent > 0 : now >= pauseEnd && units <= sent.level(now)) {
                unsent -= isOverload ? units : 0;
                sent.setLevel(sent.level(now) - units, now);
                boolean isInside = sent.level(now) >= 0;
                int gateway = gateway(now, random);
                arrivals.add(new Arrival(now, team, gateway, units, isInside, factor == 0));
                units = random.nextInt(3) == 0 ? LONG_REQUEST : SHORT_REQUEST;
                // Pauses fill the bucket, so that full bursts are sent as well.
                pauseEnd = random.nextInt(200) == 0 ? now + random.nextInt(2_500) : pauseEnd;
            }
        }
    }

    private int gateway(long now, SplittableRandom random) {
        return switch (this) {
            case OVERLOADED_TEAMS -> random.nextInt(GATEWAYS);
            case ONE_GATEWAY -> 3;
            case MOVING_CALLERS -> (int) (now / 1_000 % GATEWAYS);
        };
    }
}
