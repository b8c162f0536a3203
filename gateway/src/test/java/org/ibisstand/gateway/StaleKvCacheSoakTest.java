package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs seeded random loads, late notices, moves and preemptions against one gateway. The system
 * property {@code ibisstand.stale.seeds} sets the number of seeds, {@code ibisstand.seed} the
 * first.
 */
class StaleKvCacheSoakTest {
    private static final int SEED_COUNT = Integer.getInteger("ibisstand.stale.seeds", 6);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);
    private static final int ACTION_COUNT = 400;
    private static final int MINIMUM_ENGINES = 3;
    private static final int MAXIMUM_ENGINES = 5;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestUsesKvCacheOfOtherWeightsAndStreamsAreWholeOrTruncated(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int engineCount = random.nextInt(MINIMUM_ENGINES, MAXIMUM_ENGINES + 1);
        boolean announcesWeights = random.nextInt(3) > 0;
        try (EngineHarness harness = new EngineHarness(engineCount, 1, announcesWeights)) {
            StaleKvCacheWorkload workload = new StaleKvCacheWorkload(harness, random);
            for (int action = 0; action < ACTION_COUNT; action++) {
                workload.runNext();
            }
            workload.finish();

            System.out.printf(
                    "seed %d: %d engines, %d requests, %d stopped runs resumed%n",
                    seed, engineCount, harness.requests().size(), harness.fleet().resumedRuns());
            harness.requests().forEach(request -> checkStream(harness, request));
            assertWithMessage("seed %s:\n%s", seed, workload.trace())
                    .that(harness.fleet().violations())
                    .isEmpty();
        }
    }

    private static void checkStream(EngineHarness harness, String request) {
        List<Integer> events = harness.receivedEvents(request);
        assertThat(events)
                .containsExactlyElementsIn(IntStream.rangeClosed(1, events.size()).boxed().toList())
                .inOrder();
        if (harness.fleet().timeline(request).contains(RequestTimeline.Step.COMPLETED)) {
            assertThat(events).hasSize(VersionedEngine.EVENT_COUNT);
        }
    }
}
