package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Shows that the exploration finds each fault that it is meant to find. */
class NaiveRulesTest {
    private static final long MOST_SCHEDULES = Long.getLong("ibisstand.naive.schedules", 20_000);

    @ParameterizedTest
    @EnumSource
    void explorationBreaksEveryNaiveVersion(NaiveRules naive) {
        OptionalLong seed =
                LongStream.range(naive.firstSeed(), naive.firstSeed() + MOST_SCHEDULES)
                        .filter(candidate -> isBroken(candidate, naive.rules()))
                        .findFirst();
        assertWithMessage("a schedule that breaks %s", naive).that(seed.isPresent()).isTrue();
        System.out.printf("%s broken by seed %d%n", naive, seed.getAsLong());
    }

    private static boolean isBroken(long seed, SafetyRules rules) {
        try {
            RandomSchedule.run(seed, 3, rules);
            return false;
        } catch (AssertionError | IllegalStateException e) {
            return true;
        }
    }
}
