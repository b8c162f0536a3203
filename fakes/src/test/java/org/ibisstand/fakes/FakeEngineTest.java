package org.ibisstand.fakes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.ibisstand.base.CacheSalt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FakeEngineTest {
    private static final int PIECE_BYTES = 16;
    private static final String PROMPT = "p".repeat(4 * PIECE_BYTES);
    private static final String CHAT = "/v1/chat/completions";
    private static final String TEXT = "/v1/completions";

    private FakeEngine mEngine;
    private TestClient mClient;

    @BeforeEach
    void start() {
        start(options());
    }

    @AfterEach
    void stop() {
        mEngine.close();
    }

    @ParameterizedTest
    @CsvSource({"false,false", "false,true", "true,false", "true,true"})
    void answersWholeInEachForm(boolean chat, boolean stream) throws Exception {
        String prompt = chat ? "user\nhello\n" : "hello";
        String ask = chat ? "'messages':[{'role':'user','content':'hello'}]" : "'prompt':'hello'";
        String body = "{'model':'m','max_tokens':5,'stream':" + stream + "," + ask + "}";

        String answer = mClient.post(chat ? CHAT : TEXT, body).body();

        String last = FakeAnswer.tokens(prompt, "m", "1", 5).getLast();
        String first = FakeAnswer.tokens(prompt, "m", "1", 5).getFirst();
        assertThat(answer).contains(first);
        assertThat(answer).contains(stream ? last : FakeAnswer.text(prompt, "m", "1", 5));
        assertThat(answer.endsWith("data: [DONE]\n\n")).isEqualTo(stream);
    }

    @ParameterizedTest
    @CsvSource({"a,a,16", "a,b,0"})
    void sharesCachedPiecesUnderOneSaltOnly(String first, String second, int cached)
            throws Exception {
        complete(first);

        JsonNode usage = complete(second).path("usage");

        assertThat(usage.path("prompt_tokens").asInt()).isEqualTo(16);
        assertThat(usage.path("prompt_tokens_details").path("cached_tokens").asInt())
                .isEqualTo(cached);
    }

    @Test
    void endsAStreamWithTheUsageIfAsked() throws Exception {
        String body =
                "{'model':'m','prompt':'x','stream':true,'stream_options':{'include_usage':true}}";

        assertThat(mClient.post(TEXT, body).body()).contains("cached_tokens");
    }

    @Test
    void publishesPiecesUnderTheHashesOfThePrefixChain() throws Exception {
        complete("salt");

        JsonNode snapshot = mClient.getJson("/events/snapshot");

        PrefixChain chain = chain("salt");
        assertThat(snapshot.path("next_sequence").asInt()).isEqualTo(1);
        assertThat(snapshot.path("hashes")).hasSize(chain.length());
        assertThat(snapshot.toString()).contains(Long.toString(chain.hash(3)));
    }

    @Test
    void streamsEventsInOrderFromANumber() throws Exception {
        complete("a");
        complete("b");

        try (Socket socket = new Socket("127.0.0.1", mEngine.port())) {
            String request = "GET /events?from=1 HTTP/1.1\r\nHost: x\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            String text = readUntil(socket, "\"alive\"");
            assertThat(text).contains("\"sequence\":1,\"type\":\"stored\"");
            assertThat(text).doesNotContain("\"sequence\":0,");
            assertThat(text).contains("\"next_sequence\":2");
        }
    }

    @Test
    void leavesAGapWhereAnEventWasLost() throws Exception {
        mEngine.setFaults(new FakeEngineFaults(1, 1, Optional.empty(), false));
        complete("a");

        assertThat(mClient.getJson("/events/snapshot").path("next_sequence").asInt()).isEqualTo(1);
        try (Socket socket = new Socket("127.0.0.1", mEngine.port())) {
            String request = "GET /events HTTP/1.1\r\nHost: x\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            assertThat(readUntil(socket, "\"alive\"")).doesNotContain("stored");
        }
    }

    @ParameterizedTest
    @CsvSource({
        "true, 5,2, 4,3, 200,409, 2",
        "false,5,2, 4,3, 200,200, 3",
        "true, 5,2, 5,2, 200,200, 2",
        "true, 5,2, 5,3, 200,409, 2",
        "true, 5,2, 6,3, 200,200, 3",
    })
    void takesLoadOrdersByTheirFencingNumber(
            boolean honours,
            int number,
            String version,
            int nextNumber,
            String nextVersion,
            int status,
            int nextStatus,
            String versionInForce)
            throws Exception {
        mEngine.close();
        start(options().withFencing(honours));
        complete("a");

        HttpResponse<String> first = load(number, version);
        HttpResponse<String> next = load(nextNumber, nextVersion);

        assertThat(first.statusCode()).isEqualTo(status);
        assertThat(next.statusCode()).isEqualTo(nextStatus);
        assertThat(mClient.getJson("/health").path("models").path("m").asText())
                .isEqualTo(versionInForce);
        assertThat(mClient.getJson("/events/snapshot").path("hashes")).isEmpty();
    }

    @Test
    void crashesInTheMiddleOfAnAnswerAndComesBackEmpty() throws Exception {
        complete("a");
        String boot = mClient.getJson("/health").path("boot").asText();
        mEngine.setFaults(FakeEngineFaults.crashAfter(2));

        assertThrows(ExecutionException.class, () -> complete("a"));

        assertThat(mClient.getJson("/health").path("boot").asText()).isNotEqualTo(boot);
        assertThat(mClient.getJson("/admin/state").path("cached_pieces").asInt()).isEqualTo(0);
        assertThat(complete("a").path("choices")).hasSize(1);
    }

    @Test
    void cancelsTheWorkOfACallerThatIsGone() throws Exception {
        mEngine.close();
        start(options().withSpeed(1, 1e9, 60_000, 0));
        String body = "{'model':'m','prompt':'x'}";
        try (Socket socket = new Socket("127.0.0.1", mEngine.port())) {
            String request =
                    "POST /v1/completions HTTP/1.1\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body.replace('\'', '"');
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            awaitState("running", 1);
        }
        awaitState("cancelled", 1);
        assertThat(mClient.get("/metrics")).contains("vllm:num_requests_running 0");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "/v1/completions|{|400",
                "/v1/completions|{'model':'m'}|400",
                "/v1/completions|{'model':'x','prompt':'y'}|404",
                "/admin/load|{'model':'m'}|400",
                "/nowhere|{}|404",
            })
    void answersBadInputAndServesOn(String path, String body, int status) throws Exception {
        assertThat(mClient.post(path, body).statusCode()).isEqualTo(status);
        assertThat(complete("a").path("choices")).hasSize(1);
    }

    @Test
    void reportsAPortInUse() {
        FakeEngineOptions taken = options().withAddress("127.0.0.1", mEngine.port());

        IbisstandException e =
                assertThrows(
                        IbisstandException.class,
                        () -> FakeEngine.start(taken, ManualClock.at(Instant.EPOCH)));

        assertThat(e.code()).isEqualTo(ErrorCode.PORT_IN_USE);
    }

    private static FakeEngineOptions options() {
        return FakeEngineOptions.serving("m", "1")
                .withCache(PIECE_BYTES, 64)
                .withSpeed(2, 1e9, 0, 0);
    }

    private void start(FakeEngineOptions options) {
        mEngine = FakeEngine.start(options, ManualClock.at(Instant.EPOCH));
        mClient = new TestClient(mEngine.baseUrl());
    }

    private JsonNode complete(String salt) throws Exception {
        String body = "{'model':'m','prompt':'" + PROMPT + "','cache_salt':'" + salt + "'}";
        return mClient.postJson(TEXT, body);
    }

    private HttpResponse<String> load(int number, String version) throws Exception {
        String order =
                "{'model':'m','weights_version':'" + version + "','fencing_number':" + number + "}";
        return mClient.post("/admin/load", order);
    }

    private void awaitState(String key, int value) throws Exception {
        while (mClient.getJson("/admin/state").path(key).asInt() != value) {
            Thread.onSpinWait();
        }
    }

    private static PrefixChain chain(String salt) {
        byte[] prompt = PROMPT.getBytes(StandardCharsets.UTF_8);
        return PrefixChain.of(new CacheSalt(salt), prompt, PIECE_BYTES);
    }

    private static String readUntil(Socket socket, String part) throws Exception {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(part) < 0) {
            text.append((char) socket.getInputStream().read());
        }
        return text + new String(socket.getInputStream().readNBytes(20), StandardCharsets.US_ASCII);
    }
}
