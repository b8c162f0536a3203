package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.ibisstand.gateway.EngineCost.Engine;
import org.ibisstand.gateway.EngineCost.Shape;
import org.ibisstand.gateway.EngineCost.Transfer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class EngineCostTest {
    private static final Shape REVIEW = new Shape("part", 6_300, 2_890, 10);
    private static final Transfer NONE = new Transfer(0, 1, "a");
    private static final Transfer FAST = new Transfer(96_256, 1_100_000, "a");
    private static final Transfer SLOW = new Transfer(96_256, 1_000, "a");

    @Test
    void aHeldPartIsWorthAWaitThatIsShorterThanReadingIt() {
        Engine holder = engine("a", 6_300, 3_000, 100_000);
        Engine idle = engine("b", 0, 0, 100_000);

        assertThat(cost(holder, NONE)).isLessThan(cost(idle, NONE));
        assertThat(cost(holder, FAST)).isGreaterThan(cost(idle, FAST));
    }

    @Test
    void aTransferThatIsSlowerThanReadingIsNotCounted() {
        Engine idle = engine("b", 0, 0, 100_000);

        assertThat(cost(idle, SLOW)).isEqualTo(cost(idle, NONE));
    }

    @Test
    void anEngineWithoutMemoryIsLeftToOthers() {
        Engine full = engine("a", 6_300, 0, 1_000);
        Engine idle = engine("b", 0, 0, 100_000);

        assertThat(cost(full, NONE)).isGreaterThan(cost(idle, NONE));
    }

    @Test
    void theHomeOfAPartStaysWhenAnotherEngineLeaves() {
        List<Engine> engines =
                List.of(engine("a", 0, 0, 1), engine("b", 0, 0, 1), engine("c", 0, 0, 1));
        Engine home = EngineCost.homes("part", engines).getFirst();
        List<Engine> fewer =
                engines.stream()
                        .filter(
                                one ->
                                        one == home
                                                || one != EngineCost.homes("part", engines).get(2))
                        .toList();

        assertThat(EngineCost.homes("part", fewer).getFirst()).isEqualTo(home);
    }

    /** Entries of two releases must agree on the homes of a part. */
    @ParameterizedTest
    @CsvSource({"part, e2 e4 e3 e5 e0 e1", "other, e5 e3 e0 e4 e1 e2", "'', e4 e1 e0 e2 e5 e3"})
    void theHomesOfAPartStayTheSameBetweenReleases(String part, String names) {
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 6; index++) {
            engines.add(engine("e" + index, 0, 0, 1));
        }

        List<Engine> homes = EngineCost.homes(part, engines);

        assertThat(homes.stream().map(Engine::name).toList()).isEqualTo(List.of(names.split(" ")));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theCheapestEnginesAreThoseOfTheLeastCostInOrder(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Engine> engines = new ArrayList<>();
        for (int index = 0; index < 34; index++) {
            // Few different values, so that some engines cost the same.
            engines.add(engine("e" + index, 2_100 * random.nextInt(4), 900 * random.nextInt(4), 1));
        }

        List<Engine> cheapest = EngineCost.cheapest(engines, REVIEW, FAST, 3);

        List<Engine> sorted =
                engines.stream()
                        .sorted(Comparator.comparingDouble(one -> cost(one, FAST)))
                        .limit(3)
                        .toList();
        assertThat(cheapest).isEqualTo(sorted);
    }

    private static double cost(Engine engine, Transfer transfer) {
        return EngineCost.milliseconds(engine, REVIEW, transfer);
    }

    private static Engine engine(String name, int held, long pending, long free) {
        return new Engine(name, "a", held, pending, 0, 0, 100, free, 0);
    }
}
