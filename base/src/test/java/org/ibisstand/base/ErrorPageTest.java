package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Compares the operators' page with the error codes. */
class ErrorPageTest {
    private static final Path PAGE = Path.of("..", "docs", "errors.md");

    @ParameterizedTest
    @EnumSource(ErrorCode.class)
    void showsEachCodeWithWhatToDo(ErrorCode code) throws Exception {
        String row = "| `" + code + "` | " + code.httpStatus() + " | " + code.action() + " |";

        assertThat(Files.readString(PAGE)).contains("\n" + row + "\n");
    }
}
