package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.ibisstand.agent.LoadSlotPolicy.Engine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadSlotPolicyTest {
    private static final Duration NO_WAIT = Duration.ZERO;

    @ParameterizedTest
    @CsvSource({"1, 1", "4, 1", "6, 2", "34, 9"})
    void aQuarterOfTheEnginesLoadsAtATime(int engines, int expectedLoading) {
        assertThat(loading(engines(engines, 1), 2)).hasSize(expectedLoading);
    }

    @ParameterizedTest
    @CsvSource({"6, '2,2,1,1'", "34, '9,9,8,4,2,1,1'"})
    void nextEnginesLoadWhenOthersFinishAndHalfOfTheLastOnesAtATime(
            int engineCount, String expectedLoading) {
        List<Engine> engines = new ArrayList<>(engines(engineCount, 1));
        for (String expected : expectedLoading.split(",")) {
            List<String> loading = loading(engines, 2);
            assertThat(loading).hasSize(Integer.parseInt(expected));
            engines.replaceAll(
                    engine ->
                            loading.contains(engine.name())
                                    ? new Engine(engine.name(), 2, false)
                                    : engine);
        }
        assertThat(engines.stream().allMatch(engine -> engine.version() == 2)).isTrue();
    }

    @Test
    void enginesWithTheOldestWeightsLoadFirstWhenVersionsFollowQuickly() {
        List<Engine> engines = new ArrayList<>(engines(6, 1));
        for (int round = 0; round < 3; round++) {
            long targetVersion = 2 + round;
            List<String> loading = loading(engines, targetVersion);
            engines.replaceAll(
                    engine ->
                            loading.contains(engine.name())
                                    ? new Engine(engine.name(), targetVersion, false)
                                    : engine);
        }
        assertThat(engines.stream().noneMatch(engine -> engine.version() == 1)).isTrue();
    }

    @Test
    void anEngineThatIsStillLoadingOccupiesASlotInAnyPosition() {
        List<Engine> engines = new ArrayList<>(engines(6, 1));
        engines.set(0, new Engine("engine-0", 2, true));
        engines.set(1, new Engine("engine-1", 2, true));

        assertThat(loading(engines, 3)).isEmpty();
    }

    @Test
    void enginesThatNeverFinishDoNotBlockOthersForever() {
        List<Engine> engines = engines(6, 1);

        assertThat(
                        engines.stream()
                                .allMatch(
                                        engine ->
                                                LoadSlotPolicy.mayLoadNow(
                                                        engine.name(),
                                                        engines,
                                                        2,
                                                        Duration.ofSeconds(6))))
                .isTrue();
    }

    /** While runs that cannot move delay a group, no later group drains beside it. */
    @ParameterizedTest
    @CsvSource({"0, 3600", "2, 5400", "4, 5400"})
    void theTimeoutOfAGroupStaysWhenOtherEnginesHaveLoaded(
            int loadedCount, long timeoutMilliseconds) {
        List<Engine> engines = new ArrayList<>(engines(6, 2).subList(0, loadedCount));
        engines.addAll(engines(6, 1).subList(loadedCount, 6));
        List<String> waiting = new ArrayList<>(names(engines, 1));
        waiting.removeAll(loading(engines, 2));

        assertThat(mayLoad(waiting, engines, timeoutMilliseconds - 1)).isEmpty();
        assertThat(mayLoad(waiting, engines, timeoutMilliseconds)).isNotEmpty();
    }

    private static List<String> names(List<Engine> engines, long version) {
        return engines.stream()
                .filter(engine -> engine.version() == version)
                .map(Engine::name)
                .toList();
    }

    private static List<String> mayLoad(
            List<String> names, List<Engine> engines, long outdatedMilliseconds) {
        Duration outdatedFor = Duration.ofMillis(outdatedMilliseconds);
        return names.stream()
                .filter(name -> LoadSlotPolicy.mayLoadNow(name, engines, 2, outdatedFor))
                .toList();
    }

    private static List<String> loading(List<Engine> engines, long targetVersion) {
        return engines.stream()
                .filter(engine -> engine.version() < targetVersion && !engine.loading())
                .map(Engine::name)
                .filter(name -> LoadSlotPolicy.mayLoadNow(name, engines, targetVersion, NO_WAIT))
                .toList();
    }

    private static List<Engine> engines(int count, long version) {
        return IntStream.range(0, count)
                .mapToObj(index -> new Engine("engine-" + index, version, false))
                .toList();
    }
}
