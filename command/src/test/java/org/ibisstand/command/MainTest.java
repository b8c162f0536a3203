package org.ibisstand.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.net.InetAddress;
import java.net.ServerSocket;
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

    @ParameterizedTest
    @ValueSource(strings = {"entry", "agent", "control"})
    void reportsAPortInUse(String kind) throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path file = settings(kind, taken.getLocalPort(), mFolder.resolve("data"));

            ExitCode code = run("", kind, "--settings", file.toString());

            assertThat(code).isEqualTo(ExitCode.ENVIRONMENT);
            assertThat(mErrors.toString()).startsWith("error: PORT_IN_USE: cannot listen on ");
        }
    }

    @Test
    void reportsADataFolderThatCannotBeWritten() throws Exception {
        Path notAFolder = Files.writeString(mFolder.resolve("file"), "");
        Path file = settings("control", 0, notAFolder.resolve("data"));

        ExitCode code = run("", "control", "--settings", file.toString());

        assertThat(code).isEqualTo(ExitCode.ENVIRONMENT);
        assertThat(mErrors.toString()).startsWith("error: DATA_FOLDER_UNUSABLE: ");
    }

    @Test
    void reportsAControlThatDoesNotAnswer() throws Exception {
        Path token = Files.writeString(mFolder.resolve("token"), "operator");
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closed.close();
            String address = "127.0.0.1:" + closed.getLocalPort();

            ExitCode code =
                    run("", "state", "--address", address, "--token-file", token.toString());

            assertThat(code).isEqualTo(ExitCode.UNREACHABLE);
        }
    }

    private Path settings(String kind, int port, Path dataFolder) throws Exception {
        String listen = "{'host':'127.0.0.1','port':" + port + "}";
        String common =
                ",'zone':'a','administration':{'host':'127.0.0.1','port':0,"
                        + "'operator_token_sha256':'"
                        + "ab".repeat(32)
                        + "'}";
        String control = ",'control_addresses':['127.0.0.1:1']";
        String text =
                switch (kind) {
                    case "entry" -> "{'process':'e','caller':" + listen + control + common + "}";
                    case "agent" ->
                            "{'agent':'a','backend':{'kind':'plain_service','services':['s'],"
                                    + "'base_url':'http://127.0.0.1:1','slots':1},'wire':"
                                    + listen
                                    + control
                                    + common
                                    + "}";
                    default ->
                            "{'member':'c','members':[{'member':'c','address':'127.0.0.1:1'}],"
                                    + "'data_folder':'"
                                    + dataFolder
                                    + "','wire':"
                                    + listen
                                    + common
                                    + "}";
                };
        return Files.writeString(mFolder.resolve(kind + ".json"), text.replace('\'', '"'));
    }

    private ExitCode run(String input, String... arguments) {
        PrintStream output = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        PrintStream errors = new PrintStream(mErrors, true, StandardCharsets.UTF_8);
        Map<String, String> environment = Map.of();
        return new Main(output, errors, new StringReader(input), environment::get).run(arguments);
    }
}
