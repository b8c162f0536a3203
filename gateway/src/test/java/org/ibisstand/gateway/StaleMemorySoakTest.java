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
 * Seeded steps of loads, late notices, moves and preemptions before one gateway. The system
 * property {@code ibisstand.stale.seeds} sets how many, {@code ibisstand.seed} the first one.
 */
class StaleMemorySoakTest {
    private static final int SEEDS = Integer.getInteger("ibisstand.stale.seeds", 6);
    private static final long FIRST_SEED = Long.getLong("ibisstand.seed", 0);
    private static final int STEPS = 400;
    private static final int LEAST_ENGINES = 3;
    private static final int MOST_ENGINES = 5;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void noRequestRunsOnMemoryOfOtherWeightsAndStreamsAreWholeOrCut(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int engines = random.nextInt(LEAST_ENGINES, MOST_ENGINES + 1);
        boolean announced = random.nextInt(3) > 0;
        try (EngineScenario scenario = new EngineScenario(engines, 1, announced)) {
            StaleMemorySteps steps = new StaleMemorySteps(scenario, random);
            for (int step = 0; step < STEPS; step++) {
                steps.next();
            }
            steps.finish();

            System.out.printf(
                    "seed %d: %d engines, %d requests, %d stopped runs that went on%n",
                    seed, engines, scenario.requests().size(), scenario.fleet().continuedRuns());
            scenario.requests().forEach(request -> checkStream(scenario, request));
            assertWithMessage("seed %s:\n%s", seed, steps.trace())
                    .that(scenario.fleet().findings())
                    .isEmpty();
        }
    }

    private static void checkStream(EngineScenario scenario, String request) {
        List<Integer> events = scenario.events(request);
        assertThat(events)
                .containsExactlyElementsIn(IntStream.rangeClosed(1, events.size()).boxed().toList())
                .inOrder();
        if (scenario.fleet().log(request).contains(RunLog.Step.ENDED)) {
            assertThat(events).hasSize(VersionedEngine.EVENTS);
        }
    }
}
