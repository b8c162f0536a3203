package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.whole;
import static org.ibisstand.gateway.ScriptedServer.write;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class GatewayDaemonTest {
    private static final String SIGNED = "x-signature: s\r\n";
    private static final String REFUSED = "x-not-executed: 1\r\n";
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** More than half of the gateway's time to stop. */
    private static final Duration LONG_ANSWER = Duration.ofMillis(900);

    private final List<ScriptedServer> mServers = new ArrayList<>();
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.NAMES,
                    headers -> Optional.empty(),
                    Samples.RUN_MOVES,
                    MonotonicClock.start(),
                    new MetricRegistry());

    @AfterEach
    void close() {
        mGateway.close();
        mServers.forEach(ScriptedServer::close);
    }

    @Test
    void passesRequestAndAnswerOnUnchanged() throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED + "x-other: kept\r\n", "body"));

        String answer = call("POST", "/p/path?query=1", "x-team: forged\r\nx-kept: 1\r\n", "sent");

        assertThat(answer).startsWith("HTTP/1.1 200");
        assertThat(answer).contains("x-other: kept");
        assertThat(answer).endsWith("body");
        String request = mServers.getFirst().requests().getFirst();
        assertThat(request).startsWith("POST /p/path?query=1 HTTP/1.1");
        assertThat(request).endsWith("sent");
        assertThat(ScriptedServer.header(request, "x-team")).isEqualTo("team");
        assertThat(ScriptedServer.header(request, "x-kept")).isEqualTo("1");
        assertThat(ScriptedServer.header(request, "authorization")).isEmpty();
        assertThat(Long.parseLong(ScriptedServer.header(request, "x-deadline"))).isAtMost(2_000);
    }

    @ParameterizedTest
    @ValueSource(strings = {"none", "Bearer wrong", "Basic key"})
    void refusesUnknownKeys(String key) throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED, ""));

        String answer =
                exchange(
                        "GET /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r\r\n"
                                + "Connection: close\r\nAuthorization: "
                                + key
                                + "\r\n\r\n");

        assertThat(answer).startsWith("HTTP/1.1 401");
        assertThat(mServers.getFirst().requests()).isEmpty();
    }

    @Test
    void refusesPathsWithoutARoute() throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED, ""));

        assertThat(call("GET", "/other/", "", "")).startsWith("HTTP/1.1 404");
    }

    @Test
    void refusesEverythingUntilItKnowsAConfiguration() throws IOException {
        assertThat(mGateway.isReady()).isFalse();
        assertThat(call("GET", "/p/", "", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void servesWhatCameShortlyBeforeTheFirstConfiguration() throws IOException {
        try (Socket caller = connect()) {
            write(caller, request("GET", "/p/", "", ""));
            serve(Repetition.IDEMPOTENT, whole(200, SIGNED, "served"));

            assertThat(read(caller)).endsWith("served");
        }
    }

    /** The ways in which an answer may fail to be one. */
    enum Fault {
        CLOSED,
        CUT,
        NO_ANSWER,
        UNSIGNED,
        ENCODED
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void aRequestThatMayRunOnceIsNeverRepeatedAfterItMayHaveRun(Fault fault) throws IOException {
        serve(Repetition.ONCE, faulty(fault), faulty(fault));

        String answer = call("POST", "/p/", "", "sent");

        assertThat(answer).startsWith("HTTP/1.1 502");
        assertThat(requests()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void anIdempotentRequestGoesToAnotherServer(Fault fault) throws IOException {
        ScriptedServer.Script once = failingFirst(faulty(fault));
        serve(Repetition.IDEMPOTENT, once, once);

        assertThat(call("GET", "/p/", "", "")).startsWith("HTTP/1.1 200");
        assertThat(requests()).isEqualTo(2);
    }

    @ParameterizedTest
    @EnumSource(Repetition.class)
    void aRequestThatDidNotRunGoesToAnotherServer(Repetition repetition) throws IOException {
        ScriptedServer.Script once = failingFirst(whole(503, REFUSED, ""));
        serve(repetition, once, once);

        assertThat(call("GET", "/p/", "", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestThatNoServerRanIsRefusedWithATimeToReturn() throws IOException {
        ScriptedServer.Script full = whole(503, REFUSED, "");
        serve(Repetition.ONCE, full, full);

        String answer = call("POST", "/p/", "", "sent");

        assertThat(answer).startsWith("HTTP/1.1 503");
        assertThat(ScriptedServer.header(answer, "retry-after")).isNotEmpty();
    }

    @Test
    void anAnswerOfAnotherRequestIsPassedOver() throws IOException {
        serve(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    whole(200, SIGNED, "other").answer(request, "another", connection);
                    whole(200, SIGNED, "mine").answer(request, identifier, connection);
                });

        assertThat(call("POST", "/p/", "", "sent")).endsWith("mine");
    }

    @Test
    void bytesBehindAnAnswerBelongToNoRequest() throws IOException {
        serve(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    whole(200, SIGNED, "mine").answer(request, identifier, connection);
                    whole(200, SIGNED, "extra").answer(request, identifier, connection);
                });

        assertThat(call("POST", "/p/", "", "sent")).endsWith("mine");
        assertThat(call("POST", "/p/", "", "sent")).endsWith("mine");
    }

    @Test
    void aResumableStreamGoesOnBehindItsLastWholeEvent() throws IOException {
        ScriptedServer.Script script =
                (request, identifier, connection) -> {
                    boolean goesOn = ScriptedServer.header(request, "last-event-id").equals("1");
                    write(connection, streamHead(identifier));
                    if (goesOn) {
                        write(connection, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                    } else {
                        write(connection, chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"));
                        connection.close();
                    }
                };
        serve(Repetition.RESUMABLE_STREAM, script, script);

        String answer = call("POST", "/p/", "", "sent");

        assertThat(answer.replaceAll("\r\n[0-9a-f]+\r\n", ""))
                .contains("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(answer).endsWith("0\r\n\r\n");
    }

    /** Whole answers that a server may give in place of the rest of a stream. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500, 504})
    void aWholeAnswerNeverFollowsABegunStream(int status) throws IOException {
        ScriptedServer.Script script =
                (request, identifier, connection) -> {
                    if (ScriptedServer.header(request, "last-event-id").isEmpty()) {
                        write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                        connection.close();
                    } else {
                        String signed = status == 200 ? "" : SIGNED;
                        whole(status, signed, "other").answer(request, identifier, connection);
                    }
                };
        serve(Repetition.RESUMABLE_STREAM, script, script);

        String keptOpen = request("POST", "/p/", "", "sent").replace("Connection: close\r\n", "");
        String answer = exchange(keptOpen);

        assertThat(answer).contains("data: a");
        assertThat(answer).doesNotContain("other");
        assertThat(answer.lastIndexOf("HTTP/1.1")).isEqualTo(0);
        assertThat(answer).doesNotContain("0\r\n\r\n");
    }

    @Test
    void aStreamThatCannotGoOnIsSeenToBeIncomplete() throws IOException {
        serve(
                Repetition.STREAM,
                (request, identifier, connection) -> {
                    write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                    connection.close();
                });

        String answer = call("POST", "/p/", "", "sent");

        assertThat(answer).contains("data: a");
        assertThat(answer).doesNotContain("0\r\n\r\n");
    }

    @Test
    void workForACallerThatLeftIsCancelled() throws IOException, InterruptedException {
        serve(Repetition.ONCE, (request, identifier, connection) -> {});
        Socket caller = connect();
        write(caller, request("POST", "/p/", "", "sent"));
        while (mServers.getFirst().requests().isEmpty()) {
            Thread.onSpinWait();
        }
        caller.close();

        assertThat(mServers.getFirst().callerLeft(READ_TIMEOUT_MILLISECONDS)).isTrue();
    }

    @Test
    void aRequestThatIsNotAnsweredInTimeIsGivenUp() throws IOException {
        serve(Repetition.ONCE, (request, identifier, connection) -> {});

        String answer = call("POST", "/p/", "x-deadline: 200\r\n", "sent");

        assertThat(answer).startsWith("HTTP/1.1 504");
    }

    @Test
    void aSilentServerIsLeftWhileThereIsTimeForAnother() throws IOException {
        ScriptedServer.Script silentFirst = failingFirst((request, identifier, connection) -> {});
        serve(Repetition.IDEMPOTENT, silentFirst, silentFirst);

        assertThat(call("GET", "/p/", "x-deadline: 400\r\n", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestWithTwoLengthsIsRefused() throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED, ""));

        String answer =
                exchange(
                        "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

        assertThat(answer).startsWith("HTTP/1.1 400");
        assertThat(requests()).isEqualTo(0);
    }

    @Test
    void aBodyOverTheLimitIsRefused() throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED, ""));

        assertThat(call("POST", "/p/", "", "x".repeat(100_001))).startsWith("HTTP/1.1 413");
    }

    @Test
    void aStoppingGatewayLeavesLongAnswersMostOfItsTime() throws IOException {
        serve(
                Repetition.STREAM,
                (request, identifier, connection) -> {
                    write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                    LockSupport.parkNanos(LONG_ANSWER.toNanos());
                    write(connection, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                });
        CompletableFuture<Void> stopped = mGateway.drain();
        Socket caller = connect();
        write(caller, request("POST", "/p/", "", "sent"));

        assertThat(read(caller)).endsWith("0\r\n\r\n");
        stopped.join();
        assertThrows(ConnectException.class, this::connect);
    }

    @Test
    void aStoppingGatewayAnswersWhatItHasAndTakesNoMore() throws IOException {
        serve(
                Repetition.ONCE,
                (request, identifier, connection) ->
                        whole(200, SIGNED, "late").answer(request, identifier, connection));
        Socket kept = connect();
        write(kept, request("POST", "/p/", "", "sent"));

        mGateway.drain().join();

        assertThat(read(kept)).endsWith("late");
        assertThat(mGateway.isReady()).isFalse();
    }

    private void serve(Repetition repetition, ScriptedServer.Script... scripts) {
        Route route = Samples.route("/p/", repetition);
        List<ServerRecord> records = new ArrayList<>();
        for (ScriptedServer.Script script : scripts) {
            ScriptedServer server = ScriptedServer.start(script);
            mServers.add(server);
            records.add(
                    ServerRecord.newBuilder()
                            .setServer("server-" + mServers.size())
                            .setService("service")
                            .setAddress(server.address())
                            .setSlots(4)
                            .build());
        }
        FleetState state =
                new FleetState(
                        Optional.of(Samples.configuration(List.of(route))), Map.of(), records, 1);
        mGateway.update(state).join();
    }

    private ScriptedServer.Script failingFirst(ScriptedServer.Script failure) {
        return (request, identifier, connection) -> {
            if (requests() == 1) {
                failure.answer(request, identifier, connection);
            } else if (mGateway.isReady()) {
                whole(200, SIGNED, "").answer(request, identifier, connection);
            }
        };
    }

    private static ScriptedServer.Script faulty(Fault fault) {
        return switch (fault) {
            case CLOSED -> (request, identifier, connection) -> connection.close();
            case CUT ->
                    (request, identifier, connection) -> {
                        write(
                                connection,
                                "HTTP/1.1 200 X\r\nx-request: "
                                        + identifier
                                        + "\r\n"
                                        + SIGNED
                                        + "Content-Length: 9\r\n\r\ncut");
                        connection.close();
                    };
            case NO_ANSWER ->
                    (request, identifier, connection) -> {
                        write(connection, "these bytes are no answer\r\n\r\n");
                        connection.close();
                    };
            case UNSIGNED -> whole(200, "", "body");
            case ENCODED -> whole(200, SIGNED + "Content-Encoding: gzip\r\n", "body");
        };
    }

    private int requests() {
        return mServers.stream().mapToInt(server -> server.requests().size()).sum();
    }

    private String call(String method, String uri, String headers, String body) throws IOException {
        return exchange(request(method, uri, headers, body));
    }

    private static String request(String method, String uri, String headers, String body) {
        return method
                + " "
                + uri
                + " HTTP/1.1\r\nHost: h.example\r\nx-request: r1\r\nAuthorization: Bearer key\r\n"
                + "Connection: close\r\nContent-Length: "
                + body.length()
                + "\r\n"
                + headers
                + "\r\n"
                + body;
    }

    private String exchange(String request) throws IOException {
        try (Socket caller = connect()) {
            write(caller, request);
            return read(caller);
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), mGateway.port());
        caller.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static String read(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    private static String streamHead(String identifier) {
        return "HTTP/1.1 200 X\r\nx-request: "
                + identifier
                + "\r\n"
                + SIGNED
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
