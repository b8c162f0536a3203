package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Explores seeded random schedules of faults. The system property {@code ibisstand.schedules} sets
 * how many for each size, {@code ibisstand.seed} the first seed; a failure names its seed.
 */
class ExplorationTest {
    private static final int SCHEDULES = Integer.getInteger("ibisstand.schedules", 1_000);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);

    @ParameterizedTest
    @ValueSource(ints = {3, 5})
    void everyInvariantHoldsInEverySchedule(int size) {
        long committed = 0;
        int reads = 0;
        int losses = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            RandomSchedule schedule = run(seed, size);
            committed += schedule.committed();
            reads += schedule.reads();
            losses += schedule.losses();
        }
        System.out.printf(
                "%d members, %d schedules from seed %d: %d commits, %d reads, %d lost disks%n",
                size, SCHEDULES, FIRST_SEED, committed, reads, losses);
        assertThat(committed).isAtLeast(SCHEDULES);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void aSeedReplaysExactly(long seed) {
        assertThat(run(seed, 3).trace()).isEqualTo(run(seed, 3).trace());
    }

    private static RandomSchedule run(long seed, int size) {
        try {
            return RandomSchedule.run(seed, size, new SafetyRules());
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError(
                    "replay with -Dibisstand.schedules=1 -Dibisstand.seed=" + seed, e);
        }
    }
}
