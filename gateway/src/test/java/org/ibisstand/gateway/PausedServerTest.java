package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.write;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.ibisstand.base.ManualClock;
import org.ibisstand.settings.Route.Repetition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that turn a request away with 503 and say for how long they want no other one. */
class PausedServerTest {
    private static final int REQUESTS = 12;
    private static final long TIMEOUT_SECONDS = 8;

    /** Longer than the spread of the gateways that come back. */
    private static final Duration SPREAD = Duration.ofMillis(300);

    private static final ScriptedServer.Script SUCCESS =
            ScriptedServer.completeResponse(200, "x-signature: s\r\n", "body");

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final ScriptedGateway mGateway = ScriptedGateway.start(mClock);

    /** What the first server does. */
    private final AtomicReference<ScriptedServer.Script> mFirst =
            new AtomicReference<>(refusal("2"));

    @AfterEach
    void close() {
        mGateway.close();
    }

    /** A response that asks for two seconds without requests. */
    private enum Response {
        REFUSAL(refusal("2")),
        FAILURE(ScriptedServer.completeResponse(503, "Retry-After: 2\r\n", "")),
        FRACTION(refusal("2.000")),
        SEVERAL_VALUES(refusal("0.5\r\nRetry-After: 2\r\nRetry-After: soon")),
        CUT_BODY(
                (request, identifier, connection) -> {
                    write(connection, "HTTP/1.1 503 X\r\nx-request: " + identifier + "\r\n");
                    write(connection, "Retry-After: 2\r\nContent-Length: 9\r\n\r\nbody");
                    connection.close();
                }),
        RESPONSE_TO_ANOTHER_REQUEST(
                (request, identifier, connection) -> {
                    refusal("2").respond(request, "other", connection);
                    SUCCESS.respond(request, identifier, connection);
                });

        private final ScriptedServer.Script mScript;

        Response(ScriptedServer.Script script) {
            mScript = script;
        }
    }

    @ParameterizedTest
    @EnumSource(Response.class)
    void aServerGetsNoRequestBeforeTheEndOfItsPause(Response response) throws IOException {
        mFirst.set(response.mScript);
        serveOne(Repetition.IDEMPOTENT);
        mGateway.send();
        mFirst.set(SUCCESS);

        for (int request = 0; request < REQUESTS; request++) {
            mGateway.repeatRecords();
            assertThat(mGateway.send()).startsWith("HTTP/1.1 503");
        }
        mClock.advance(Duration.ofMillis(1_999));
        assertThat(mGateway.send()).startsWith("HTTP/1.1 503");
        assertThat(mGateway.requests()).hasSize(1);

        mClock.advance(SPREAD);
        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
    }

    @Test
    void otherServersTakeTheRequestsOfAPausedServer() throws IOException {
        mGateway.serve(
                ScriptedGateway.patientRoute(Repetition.ONCE, 1),
                (request, identifier, connection) ->
                        mFirst.get().respond(request, identifier, connection),
                SUCCESS);
        while (mGateway.requests(0).isEmpty()) {
            assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
        }

        for (int request = 0; request < REQUESTS; request++) {
            mClock.advance(Duration.ofMillis(150));
            assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
        }
        assertThat(mGateway.requests(0)).hasSize(1);
    }

    @Test
    void callersAreToldToComeBackAfterTheEarliestEndOfAllPauses() throws IOException {
        mGateway.serve(
                ScriptedGateway.patientRoute(Repetition.ONCE, 2), refusal("3"), refusal("7"));
        assertThat(mGateway.send()).startsWith("HTTP/1.1 503");
        assertThat(mGateway.requests()).hasSize(2);

        double seconds = Double.parseDouble(ScriptedServer.header(mGateway.send(), "retry-after"));

        assertThat(seconds).isAtLeast(3.0);
        assertThat(seconds).isAtMost(4.0);
    }

    @Test
    void callersAreNotToldToWaitWhileAnotherServerHasNotPaused() throws IOException {
        mGateway.serve(
                ScriptedGateway.patientRoute(Repetition.ONCE, 2),
                refusal("3"),
                ScriptedServer.completeResponse(503, "x-not-executed: 1\r\n", ""));

        double seconds = Double.parseDouble(ScriptedServer.header(mGateway.send(), "retry-after"));

        assertThat(seconds).isLessThan(1.0);
    }

    /** The response to the trial waits until all other callers are turned away. */
    @Test
    void oneRequestTriesAServerAfterItsPause() throws Exception {
        CountDownLatch refusals = new CountDownLatch(REQUESTS - 1);
        serveOne(Repetition.ONCE);
        mGateway.send();
        mFirst.set(
                (request, identifier, connection) -> {
                    Uninterruptibles.awaitUninterruptibly(
                            refusals, TIMEOUT_SECONDS, TimeUnit.SECONDS);
                    SUCCESS.respond(request, identifier, connection);
                });
        mClock.advance(Duration.ofSeconds(2).plus(SPREAD));

        List<Future<String>> responses = new ArrayList<>();
        try (ExecutorService callers = Executors.newFixedThreadPool(REQUESTS)) {
            for (int request = 0; request < REQUESTS; request++) {
                responses.add(callers.submit(() -> sendAndCountRefusal(refusals)));
            }
        }

        int served = 0;
        for (Future<String> response : responses) {
            served += response.get().startsWith("HTTP/1.1 200") ? 1 : 0;
        }
        assertThat(served).isEqualTo(1);
        assertThat(mGateway.requests()).hasSize(2);
        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
    }

    private String sendAndCountRefusal(CountDownLatch refusals) throws IOException {
        String response = mGateway.send();
        if (response.startsWith("HTTP/1.1 503")) {
            refusals.countDown();
        }
        return response;
    }

    @Test
    void aServerThatPausesAgainAtItsTrialGetsOneRequestAtEachEnd() throws IOException {
        serveOne(Repetition.ONCE);
        for (int pause = 1; pause <= 3; pause++) {
            for (int request = 0; request < REQUESTS; request++) {
                assertThat(mGateway.send()).startsWith("HTTP/1.1 503");
            }
            assertThat(mGateway.requests()).hasSize(pause);
            mClock.advance(Duration.ofSeconds(2).plus(SPREAD));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "0",
                "-1",
                "soon",
                "NaN",
                "Infinity",
                "0x10",
                "1e3",
                "2 s",
                "1,5",
                "Sun, 06 Nov 1994 08:49:37 GMT"
            })
    void aValueThatIsNoTimeAheadIsNoPause(String value) throws IOException {
        mFirst.set(refusal(value));
        serveOne(Repetition.ONCE);
        mGateway.send();
        mFirst.set(SUCCESS);

        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 429, 500, 502})
    void otherStatusesAreNoPause(int status) throws IOException {
        mFirst.set(
                ScriptedServer.completeResponse(
                        status, "x-signature: s\r\nRetry-After: 2\r\n", ""));
        serveOne(Repetition.ONCE);
        mGateway.send();
        mFirst.set(SUCCESS);

        assertThat(mGateway.send()).startsWith("HTTP/1.1 200");
    }

    private void serveOne(Repetition repetition) {
        mGateway.serve(
                ScriptedGateway.patientRoute(repetition, 1),
                (request, identifier, connection) ->
                        mFirst.get().respond(request, identifier, connection));
    }

    private static ScriptedServer.Script refusal(String seconds) {
        return ScriptedServer.completeResponse(
                503, "x-not-executed: 1\r\nRetry-After: " + seconds + "\r\n", "");
    }
}
