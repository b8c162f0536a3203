package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class VerdictTest {
    static Stream<Arguments> retries() {
        Verdict notRun = new Verdict.NotRun(ErrorCode.OVERLOADED, "");
        Verdict mayHaveRun = new Verdict.MayHaveRun(ErrorCode.CONNECTION_LOST, "");
        return Stream.of(
                Arguments.of(notRun, false, true),
                Arguments.of(notRun, true, true),
                Arguments.of(mayHaveRun, true, true),
                Arguments.of(mayHaveRun, false, false),
                Arguments.of(new Verdict.Completed(), true, false));
    }

    @ParameterizedTest
    @MethodSource("retries")
    void allowsAnotherAttemptOnlyWhereItCannotRunTwice(
            Verdict verdict, boolean idempotent, boolean allowed) {
        assertThat(verdict.allowsRetry(idempotent)).isEqualTo(allowed);
    }
}
