package org.ibisstand.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.ibisstand.base.Digests;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MainTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErrors = new ByteArrayOutputStream();
    @TempDir private Path mFolder;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense",
                "entry",
                "entry --settings",
                "entry --settings a --unknown b",
                "check-settings router file",
                "check-settings entry",
                "configuration",
                "configuration drop --control 127.0.0.1:1",
                "configuration apply --control 127.0.0.1:1",
                "configuration apply f --control 127.0.0.1:1 --expected-revision x",
                "configuration show --control nowhere",
                "state --address 127.0.0.1:1",
                "member add c4 --control 127.0.0.1:1",
                "token print",
                "fake-engine --port 1 --model m",
                "fake-engine --port x --model m=1",
                "fake-service",
            })
    void refusesWrongCommandLines(String line) {
        assertThat(run("", line.split(" "))).isEqualTo(ExitCode.USAGE);
        assertThat(mErrors.toString()).startsWith("error: USAGE: ");
    }

    @ParameterizedTest
    @CsvSource({"help,check-settings", "--help,exit codes", "version,ibisstand"})
    void explainsItself(String command, String part) {
        assertThat(run("", command)).isEqualTo(ExitCode.OK);
        assertThat(mOutput.toString()).contains(part);
    }

    @Test
    void hashesATokenWithoutPrintingIt() {
        assertThat(run("secret\n", "token", "hash")).isEqualTo(ExitCode.OK);
        assertThat(mOutput.toString().strip()).isEqualTo(Digests.hexadecimal("secret"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"kernelta.json", "kekhullam.json"})
    void acceptsTheDocumentedExamples(String file) {
        String path = Path.of("..", "docs", "examples", file).toString();

        assertThat(run("", "check-settings", "configuration", path)).isEqualTo(ExitCode.OK);
    }

    @ParameterizedTest
    @CsvSource({"entry", "agent", "control", "configuration"})
    void namesCodeAndPathOfAFaultInAFile(String kind) throws Exception {
        Path file = Files.writeString(mFolder.resolve("file.json"), "{\"unknown\":1}");

        assertThat(run("", "check-settings", kind, file.toString())).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString()).contains("_INVALID: $.");
    }

    @Test
    void reportsAFileThatIsMissing() {
        String file = mFolder.resolve("missing.json").toString();

        assertThat(run("", "control", "--settings", file)).isEqualTo(ExitCode.INVALID);
        assertThat(mErrors.toString()).contains("SETTINGS_INVALID: cannot read the file");
    }

    private ExitCode run(String input, String... arguments) {
        PrintStream output = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        PrintStream errors = new PrintStream(mErrors, true, StandardCharsets.UTF_8);
        Map<String, String> environment = Map.of();
        return new Main(output, errors, new StringReader(input), environment::get).run(arguments);
    }
}
