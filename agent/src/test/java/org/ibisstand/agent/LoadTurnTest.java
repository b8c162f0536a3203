package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.ibisstand.agent.LoadTurn.Engine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadTurnTest {
    private static final Duration NOW = Duration.ZERO;

    @ParameterizedTest
    @CsvSource({"1, 1", "4, 1", "6, 2", "34, 9"})
    void aQuarterOfTheEnginesLoadsAtATime(int engines, int atOnce) {
        assertThat(loading(engines(engines, 1), 2)).hasSize(atOnce);
    }

    @Test
    void engineTurnsComeAsOthersFinishUntilAllAreDone() {
        List<Engine> engines = new ArrayList<>(engines(6, 1));
        for (int round = 0; round < 3; round++) {
            List<String> loading = loading(engines, 2);
            assertThat(loading).hasSize(2);
            engines.replaceAll(
                    one -> loading.contains(one.name()) ? new Engine(one.name(), 2, false) : one);
        }
        assertThat(engines.stream().allMatch(one -> one.version() == 2)).isTrue();
    }

    @Test
    void weightsNamedInQuickSuccessionReachTheOldestFirst() {
        List<Engine> engines = new ArrayList<>(engines(6, 1));
        for (int round = 0; round < 3; round++) {
            long named = 2 + round;
            List<String> loading = loading(engines, named);
            engines.replaceAll(
                    one ->
                            loading.contains(one.name())
                                    ? new Engine(one.name(), named, false)
                                    : one);
        }
        assertThat(engines.stream().noneMatch(one -> one.version() == 1)).isTrue();
    }

    @Test
    void anEngineThatIsStillLoadingCountsWhereverItStands() {
        List<Engine> engines = new ArrayList<>(engines(6, 1));
        engines.set(0, new Engine("engine-0", 2, true));
        engines.set(1, new Engine("engine-1", 2, true));

        assertThat(loading(engines, 3)).isEmpty();
    }

    @Test
    void enginesThatNeverFinishAreNotWaitedForForever() {
        List<Engine> engines = engines(6, 1);

        assertThat(
                        engines.stream()
                                .allMatch(
                                        one ->
                                                LoadTurn.isNow(
                                                        one.name(),
                                                        engines,
                                                        2,
                                                        Duration.ofSeconds(6))))
                .isTrue();
    }

    private static List<String> loading(List<Engine> engines, long named) {
        return engines.stream()
                .filter(one -> one.version() < named && !one.loading())
                .map(Engine::name)
                .filter(name -> LoadTurn.isNow(name, engines, named, NOW))
                .toList();
    }

    private static List<Engine> engines(int count, long version) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Engine("engine-" + index, version, false))
                .toList();
    }
}
