package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs seeded random loads in the modes that agents order, against gateways that know different
 * news. The system property {@code ibisstand.stale.seeds} sets the number of seeds, {@code
 * ibisstand.seed} the first.
 */
class OrderedLoadSoakTest {
    private static final int SEED_COUNT = Integer.getInteger("ibisstand.stale.seeds", 3);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);
    private static final int ACTION_COUNT = 1_200;
    private static final int MINIMUM_ENGINES = 3;
    private static final int MAXIMUM_ENGINES = 5;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestUsesKvCacheOfOtherWeightsWhateverNewsItsGatewayMissed(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int engineCount = random.nextInt(MINIMUM_ENGINES, MAXIMUM_ENGINES + 1);
        boolean announcesWeights = random.nextInt(3) > 0;
        try (EngineHarness harness = new EngineHarness(engineCount, 1, announcesWeights)) {
            OrderedLoadWorkload workload = new OrderedLoadWorkload(harness, random);
            for (int action = 0; action < ACTION_COUNT; action++) {
                workload.runNext();
            }
            workload.finish();

            System.out.printf(
                    "seed %d: %d engines, %d requests, %d stopped runs resumed, %s%n",
                    seed,
                    engineCount,
                    harness.requests().size(),
                    harness.fleet().resumedRuns(),
                    workload.summary());
            assertWithMessage("loads in seed %s", seed).that(workload.loadCount()).isAtLeast(1);
            assertWithMessage("seed %s:\n%s", seed, workload.trace())
                    .that(harness.fleet().violations())
                    .isEmpty();
        }
    }
}
