package org.ibisstand.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Sends what is wrong through the whole path; after each case the system must serve on. */
class BadInputTest {
    private static final String BEARER = "Bearer " + LocalSystem.TEAM_TOKEN;

    @TempDir private static Path sFolder;
    private static LocalSystem sSystem;

    @BeforeAll
    static void start() throws Exception {
        sSystem = LocalSystem.start(sFolder);
    }

    @AfterAll
    static void stop() throws Exception {
        sSystem.close();
    }

    @AfterEach
    void servesOn() throws Exception {
        assertThat(sSystem.complete().statusCode()).isEqualTo(200);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "POST | /v1/completions | {'model':'m', | 400 | REQUEST_MALFORMED",
                "POST | /v1/completions | {'model':'m','prompt':5} | 400 | REQUEST_MALFORMED",
                "POST | /v1/completions | [] | 400 | REQUEST_MALFORMED",
                "POST | /v1/completions | {'prompt':'x'} | 4 | ",
                "POST | /v1/completions | {'model':'x','prompt':'y'} | 404 | MODEL_UNKNOWN",
                "POST | /v1/completions | {'model':'private','prompt':'y'} | 404 | MODEL_UNKNOWN",
                "POST | /v1/chat/completions | {'model':'m'} | 400 | REQUEST_MALFORMED",
                "GET | /v1/completions | {} | 405 | METHOD_NOT_ALLOWED",
                "GET | /services/unknown/x | {} | 404 | SERVICE_UNKNOWN",
                "GET | /nowhere | {} | 404 | NOT_FOUND",
            })
    void answersWithACodeAndTheVerdictNotRun(
            String method, String path, String body, String status, String code) throws Exception {
        HttpResponse<String> response = sSystem.send(method, path, body, "Authorization", BEARER);

        assertThat(Integer.toString(response.statusCode())).startsWith(status);
        assertThat(response.body()).contains("\"code\":\"" + (code == null ? "" : code));
        assertThat(response.body()).contains("\"verdict\":\"not-run\"");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer wrong", "Basic x", "Bearer "})
    void letsNoStrangerReachABackendServer(String authorization) throws Exception {
        String before = sSystem.engineState();
        String[] headers =
                authorization.isEmpty()
                        ? new String[0]
                        : new String[] {"Authorization", authorization};

        HttpResponse<String> response =
                sSystem.send("POST", "/v1/completions", "{'model':'m','prompt':'x'}", headers);

        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("TOKEN_INVALID");
        assertThat(sSystem.engineState()).isEqualTo(before);
    }

    @Test
    void refusesABodyThatIsTooLarge() throws Exception {
        String body = "x".repeat(LocalSystem.MAXIMUM_BODY_BYTES + 1);

        HttpResponse<String> response =
                sSystem.send("POST", "/v1/completions", body, "Authorization", BEARER);

        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("BODY_TOO_LARGE");
    }

    @ParameterizedTest
    @CsvSource({"nonsense,400,REQUEST_MALFORMED", "GET / HTTP/1.1/A: %s,431,HEADER_TOO_LARGE"})
    void refusesDamagedHeaders(String head, String status, String code) throws Exception {
        String lines = head.replace("1/A", "1\r\nA") + "\r\n\r\n";
        String text = lines.formatted("x".repeat(20_000));

        String answer = exchange(sSystem.entry().port(), text.getBytes(StandardCharsets.US_ASCII));

        assertThat(answer).startsWith("HTTP/1.1 " + status);
        assertThat(answer).contains(code);
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST /v1/comp", "POST /v1/completions HTTP/1.1\r\nContent-Length: 9"})
    void endsAConnectionThatSendsNoWholeRequest(String part) throws Exception {
        String answer = exchange(sSystem.entry().port(), part.getBytes(StandardCharsets.US_ASCII));

        assertThat(answer).startsWith("HTTP/1.1 408");
        assertThat(answer).contains("REQUEST_TIMEOUT");
    }

    @ParameterizedTest
    @ValueSource(strings = {"ffffffff0f", "05ffffffffff", "0208ff", "00", "474554202f"})
    void closesWireConnectionsWithDamagedFrames(String hexadecimal) throws Exception {
        byte[] frame = HexFormat.of().parseHex(hexadecimal);

        exchange(sSystem.engineAgent().port(), frame);
    }

    @Test
    void cancelsTheWorkOfACallerThatIsGone() throws Exception {
        String body = "{\"model\":\"m\",\"prompt\":\"x\",\"stream\":true,\"max_tokens\":100000}";
        String request =
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: "
                        + BEARER
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body;
        try (Socket socket = new Socket("127.0.0.1", sSystem.entry().port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            assertThat(socket.getInputStream().readNBytes(12)).hasLength(12);
        }
        while (!sSystem.engineState().contains("\"cancelled\":1")) {
            Thread.onSpinWait();
        }
        assertThat(sSystem.engineState()).contains("\"running\":0");
    }

    /** Sends bytes and returns everything that comes until the other side closes. */
    private static String exchange(int port, byte[] bytes) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(bytes);
            InputStream input = socket.getInputStream();
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
