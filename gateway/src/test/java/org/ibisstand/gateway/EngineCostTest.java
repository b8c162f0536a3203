package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.gateway.EngineCost.EngineState;
import org.ibisstand.gateway.EngineCost.PromptSize;
import org.ibisstand.gateway.EngineCost.Transfer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineCostTest {
    private static final PromptSize PROMPT = new PromptSize("part", 6_300, 2_890, 10);
    private static final Transfer NO_TRANSFER = new Transfer(0, 1, "a");
    private static final Transfer FAST_TRANSFER = new Transfer(96_256, 1_100_000, "a");
    private static final Transfer SLOW_TRANSFER = new Transfer(96_256, 1_000, "a");

    @Test
    void waitingForACachedPartIsCheaperThanALongerPrefill() {
        EngineState caching = engine("a", 6_300, 3_000, 100_000);
        EngineState idle = engine("b", 0, 0, 100_000);

        assertThat(cost(caching, NO_TRANSFER)).isLessThan(cost(idle, NO_TRANSFER));
        assertThat(cost(caching, FAST_TRANSFER)).isGreaterThan(cost(idle, FAST_TRANSFER));
    }

    @Test
    void aTransferSlowerThanPrefillIsIgnored() {
        EngineState idle = engine("b", 0, 0, 100_000);

        assertThat(cost(idle, SLOW_TRANSFER)).isEqualTo(cost(idle, NO_TRANSFER));
    }

    @Test
    void anEngineWithoutFreeMemoryCostsMoreThanAnIdleOne() {
        EngineState full = engine("a", 6_300, 0, 1_000);
        EngineState idle = engine("b", 0, 0, 100_000);

        assertThat(cost(full, NO_TRANSFER)).isGreaterThan(cost(idle, NO_TRANSFER));
    }

    @Test
    void theFirstEngineInRendezvousOrderStaysWhenAnotherEngineLeaves() {
        List<EngineState> engines =
                List.of(engine("a", 0, 0, 1), engine("b", 0, 0, 1), engine("c", 0, 0, 1));
        EngineState first = EngineCost.rendezvousOrder("part", engines).getFirst();
        List<EngineState> remaining =
                engines.stream()
                        .filter(
                                engine ->
                                        engine == first
                                                || engine
                                                        != EngineCost.rendezvousOrder(
                                                                        "part", engines)
                                                                .get(2))
                        .toList();

        assertThat(EngineCost.rendezvousOrder("part", remaining).getFirst()).isEqualTo(first);
    }

    /** Gateways of two releases must compute the same order for a part. */
    @ParameterizedTest
    @CsvSource({"part, e2 e4 e3 e5 e0 e1", "other, e5 e3 e0 e4 e1 e2", "'', e4 e1 e0 e2 e5 e3"})
    void theRendezvousOrderStaysTheSameBetweenReleases(String prefixKey, String names) {
        List<EngineState> engines = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            engines.add(engine("e" + index, 0, 0, 1));
        }

        List<EngineState> ordered = EngineCost.rendezvousOrder(prefixKey, engines);

        assertThat(ordered.stream().map(EngineState::name).toList())
                .isEqualTo(List.of(names.split(" ")));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void cheapestReturnsTheEnginesOfLeastCostInOrder(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<EngineState> engines = new ArrayList<>();
        for (int index = 0; index < 34; index++) {
            // Few distinct values, so that some engines cost the same.
            engines.add(engine("e" + index, 2_100 * random.nextInt(4), 900 * random.nextInt(4), 1));
        }

        List<EngineState> cheapest = EngineCost.cheapest(engines, PROMPT, FAST_TRANSFER, 3);

        List<EngineState> sorted =
                engines.stream()
                        .sorted(Comparator.comparingDouble(engine -> cost(engine, FAST_TRANSFER)))
                        .limit(3)
                        .toList();
        assertThat(cheapest).isEqualTo(sorted);
    }

    private static double cost(EngineState engine, Transfer transfer) {
        return EngineCost.predictMilliseconds(engine, PROMPT, transfer);
    }

    private static EngineState engine(
            String name, int cachedTokens, long pendingTokens, long freeTokens) {
        return new EngineState(name, "a", cachedTokens, pendingTokens, 0, 0, 100, freeTokens, 0);
    }
}
