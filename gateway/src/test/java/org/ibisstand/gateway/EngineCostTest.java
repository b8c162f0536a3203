package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.ibisstand.gateway.EngineCost.Engine;
import org.ibisstand.gateway.EngineCost.Shape;
import org.ibisstand.gateway.EngineCost.Transfer;
import org.junit.jupiter.api.Test;

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

    private static double cost(Engine engine, Transfer transfer) {
        return EngineCost.milliseconds(engine, REVIEW, transfer);
    }

    private static Engine engine(String name, int held, long pending, long free) {
        return new Engine(name, "a", held, pending, 0, 0, 100, free, 0);
    }
}
