package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs seeded random fault schedules against clusters of 3 and 5 members. The system property
 * {@code ibisstand.schedules} sets the number of schedules per cluster size, and {@code
 * ibisstand.seed} the first seed. A failure message contains the seed that reproduces it.
 */
class ExplorationTest {
    private static final int SCHEDULES = Integer.getInteger("ibisstand.schedules", 1_000);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void everyInvariantHoldsInEverySchedule(int size) {
        long commits = 0;
        int confirmedReads = 0;
        int lostDisks = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            RandomSchedule schedule = run(seed, size);
            commits += schedule.lastCommittedIndex();
            confirmedReads += schedule.confirmedReads();
            lostDisks += schedule.lostDisks();
        }
        System.out.printf(
                "%d members, %d schedules from seed %d: %d commits, %d reads, %d lost disks%n",
                size, SCHEDULES, FIRST_SEED, commits, confirmedReads, lostDisks);
        assertThat(commits).isAtLeast(SCHEDULES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theSameSeedProducesTheSameTrace(long seed) {
        assertThat(run(seed, 3).traceHash()).isEqualTo(run(seed, 3).traceHash());
    }

    private static RandomSchedule run(long seed, int size) {
        try {
            return RandomSchedule.run(seed, size, new SafetyRules());
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(
                    "schedule failed; replay with -Dibisstand.schedules=1 -Dibisstand.seed=" + seed,
                    e);
        }
    }
}
