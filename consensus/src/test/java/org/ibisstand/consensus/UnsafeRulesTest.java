package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that random schedules detect the removal of each single safety condition. */
class UnsafeRulesTest {
    private static final long MAXIMUM_SCHEDULES = Long.getLong("ibisstand.naive.schedules", 20_000);

    @ParameterizedTest
    @EnumSource
    void explorationFindsAScheduleThatBreaksEachUnsafeRule(UnsafeRules unsafeRules) {
        OptionalLong seed =
                LongStream.range(
                                unsafeRules.firstSeed(),
                                unsafeRules.firstSeed() + MAXIMUM_SCHEDULES)
                        .filter(
                                candidateSeed ->
                                        breaksAnInvariant(candidateSeed, unsafeRules.rules()))
                        .findFirst();
        assertWithMessage("a schedule violates an invariant under %s", unsafeRules)
                .that(seed.isPresent())
                .isTrue();
        System.out.printf("%s violates an invariant with seed %d%n", unsafeRules, seed.getAsLong());
    }

    private static boolean breaksAnInvariant(long seed, SafetyRules rules) {
        try {
            RandomSchedule.run(seed, 3, rules);
            return false;
        } catch (AssertionError | IllegalStateException e) {
            return true;
        }
    }
}
