package org.ibisstand.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RunTest {
    private static final double LOAD = 0.1;

    static Stream<Contender> contenders() {
        return Contender.all().stream();
    }

    private static RunResult run(Contender contender, long seed) {
        return Run.run(contender, Workload.kernelta(), Scenario.steady(), seed, LOAD);
    }

    @ParameterizedTest
    @MethodSource("contenders")
    void everyContenderAnswersOrRefusesEveryRequestOfTheSameLoad(Contender contender) {
        RunResult result = run(contender, 1);
        assertThat(result.outcomes().stream().map(Outcome::request).toList())
                .isEqualTo(Traffic.generate(Workload.kernelta(), Scenario.steady(), 1, LOAD));
        for (Outcome outcome : result.outcomes()) {
            assertThat(outcome.answered()).isNotEqualTo(outcome.refused());
        }
    }

    @Test
    void givesTheSameFiguresForTheSameSeed() {
        List<Double> first = times(run(Contender.product(), 2));
        assertThat(times(run(Contender.product(), 2))).isEqualTo(first);
        assertThat(times(run(Contender.product(), 3))).isNotEqualTo(first);
    }

    private static List<Double> times(RunResult result) {
        return result.outcomes().stream().map(Outcome::firstToken).toList();
    }
}
