package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.completeText;
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
    private static final String SIGNATURE_HEADER = "x-signature: s\r\n";
    private static final String NOT_EXECUTED_HEADER = "x-not-executed: 1\r\n";
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** More than half of the time that the gateway has to stop. */
    private static final Duration LONG_RESPONSE_DURATION = Duration.ofMillis(900);

    private final List<ScriptedServer> mServers = new ArrayList<>();
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.HEADER_NAMES,
                    headers -> Optional.empty(),
                    Samples.RUN_MOVE_PROTOCOL,
                    MonotonicClock.start(),
                    new MetricRegistry());

    @AfterEach
    void close() {
        mGateway.close();
        mServers.forEach(ScriptedServer::close);
    }

    @Test
    void forwardsRequestAndResponseButReplacesReservedHeaders() throws IOException {
        startServers(
                Repetition.ONCE,
                completeResponse(200, SIGNATURE_HEADER + "x-other: kept\r\n", "body"));

        String response =
                sendRequest("POST", "/p/path?query=1", "x-team: forged\r\nx-kept: 1\r\n", "sent");

        assertThat(response).startsWith("HTTP/1.1 200");
        assertThat(response).contains("x-other: kept");
        assertThat(response).endsWith("body");
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
    void rejectsUnknownApiKeys(String authorization) throws IOException {
        startServers(Repetition.ONCE, completeResponse(200, SIGNATURE_HEADER, ""));

        String response =
                exchange(
                        "GET /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r\r\n"
                                + "Connection: close\r\nAuthorization: "
                                + authorization
                                + "\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 401");
        assertThat(mServers.getFirst().requests()).isEmpty();
    }

    @Test
    void rejectsPathsWithoutARoute() throws IOException {
        startServers(Repetition.ONCE, completeResponse(200, SIGNATURE_HEADER, ""));

        assertThat(sendRequest("GET", "/other/", "", "")).startsWith("HTTP/1.1 404");
    }

    @Test
    void rejectsRequestsUntilItHasAConfiguration() throws IOException {
        assertThat(mGateway.isReady()).isFalse();
        assertThat(sendRequest("GET", "/p/", "", "")).startsWith("HTTP/1.1 503");
    }

    @Test
    void servesARequestReceivedShortlyBeforeTheFirstConfiguration() throws IOException {
        try (Socket caller = connect()) {
            write(caller, request("GET", "/p/", "", ""));
            startServers(Repetition.IDEMPOTENT, completeResponse(200, SIGNATURE_HEADER, "served"));

            assertThat(read(caller)).endsWith("served");
        }
    }

    /** Ways in which a response is unusable. */
    enum ResponseFault {
        CLOSED,
        TRUNCATED,
        MALFORMED,
        UNSIGNED,
        ENCODED
    }

    @ParameterizedTest
    @EnumSource(ResponseFault.class)
    void aNonIdempotentRequestIsNotRetriedAfterItMayHaveRun(ResponseFault fault)
            throws IOException {
        startServers(Repetition.ONCE, faultyResponse(fault), faultyResponse(fault));

        String response = sendRequest("POST", "/p/", "", "sent");

        assertThat(response).startsWith("HTTP/1.1 502");
        assertThat(countRequests()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(ResponseFault.class)
    void anIdempotentRequestIsRetriedAtAnotherServer(ResponseFault fault) throws IOException {
        ScriptedServer.Script faultyOnce = failingOnFirstRequest(faultyResponse(fault));
        startServers(Repetition.IDEMPOTENT, faultyOnce, faultyOnce);

        assertThat(sendRequest("GET", "/p/", "", "")).startsWith("HTTP/1.1 200");
        assertThat(countRequests()).isEqualTo(2);
    }

    @ParameterizedTest
    @EnumSource(Repetition.class)
    void aRequestThatDidNotRunIsRetriedAtAnotherServer(Repetition repetition) throws IOException {
        ScriptedServer.Script refusingOnce =
                failingOnFirstRequest(completeResponse(503, NOT_EXECUTED_HEADER, ""));
        startServers(repetition, refusingOnce, refusingOnce);

        assertThat(sendRequest("GET", "/p/", "", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestThatNoServerRanIsRejectedWithRetryAfter() throws IOException {
        ScriptedServer.Script full = completeResponse(503, NOT_EXECUTED_HEADER, "");
        startServers(Repetition.ONCE, full, full);

        String response = sendRequest("POST", "/p/", "", "sent");

        assertThat(response).startsWith("HTTP/1.1 503");
        assertThat(ScriptedServer.header(response, "retry-after")).isNotEmpty();
    }

    @Test
    void aResponseToAnotherRequestIsSkipped() throws IOException {
        startServers(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    completeResponse(200, SIGNATURE_HEADER, "other")
                            .respond(request, "another", connection);
                    completeResponse(200, SIGNATURE_HEADER, "mine")
                            .respond(request, identifier, connection);
                });

        assertThat(sendRequest("POST", "/p/", "", "sent")).endsWith("mine");
    }

    @Test
    void bytesAfterAResponseAreNotUsedForTheNextRequest() throws IOException {
        startServers(
                Repetition.ONCE,
                (request, identifier, connection) ->
                        write(
                                connection,
                                completeText(200, SIGNATURE_HEADER, "mine", identifier)
                                        + completeText(
                                                200, SIGNATURE_HEADER, "extra", identifier)));

        assertThat(sendRequest("POST", "/p/", "", "sent")).endsWith("mine");
        assertThat(sendRequest("POST", "/p/", "", "sent")).endsWith("mine");
    }

    @Test
    void aResumableStreamContinuesAfterItsLastWholeEvent() throws IOException {
        ScriptedServer.Script script =
                (request, identifier, connection) -> {
                    boolean isResumed = ScriptedServer.header(request, "last-event-id").equals("1");
                    write(connection, streamHead(identifier));
                    if (isResumed) {
                        write(connection, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                    } else {
                        write(connection, chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"));
                        connection.close();
                    }
                };
        startServers(Repetition.RESUMABLE_STREAM, script, script);

        String response = sendRequest("POST", "/p/", "", "sent");

        assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", ""))
                .contains("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assertThat(response).endsWith("0\r\n\r\n");
    }

    /** Statuses of complete responses that a server may send instead of the rest of a stream. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500, 504})
    void aCompleteResponseIsNeverAppendedToAStartedStream(int status) throws IOException {
        ScriptedServer.Script script =
                (request, identifier, connection) -> {
                    if (ScriptedServer.header(request, "last-event-id").isEmpty()) {
                        write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                        connection.close();
                    } else {
                        String signature = status == 200 ? "" : SIGNATURE_HEADER;
                        completeResponse(status, signature, "other")
                                .respond(request, identifier, connection);
                    }
                };
        startServers(Repetition.RESUMABLE_STREAM, script, script);

        String keepAliveRequest =
                request("POST", "/p/", "", "sent").replace("Connection: close\r\n", "");
        String response = exchange(keepAliveRequest);

        assertThat(response).contains("data: a");
        assertThat(response).doesNotContain("other");
        assertThat(response.lastIndexOf("HTTP/1.1")).isEqualTo(0);
        assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void aStreamThatCannotContinueIsVisiblyTruncated() throws IOException {
        startServers(
                Repetition.STREAM,
                (request, identifier, connection) -> {
                    write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                    connection.close();
                });

        String response = sendRequest("POST", "/p/", "", "sent");

        assertThat(response).contains("data: a");
        assertThat(response).doesNotContain("0\r\n\r\n");
    }

    @Test
    void aRequestIsCancelledWhenItsCallerDisconnects() throws IOException, InterruptedException {
        startServers(Repetition.ONCE, (request, identifier, connection) -> {});
        Socket caller = connect();
        write(caller, request("POST", "/p/", "", "sent"));
        while (mServers.getFirst().requests().isEmpty()) {
            Thread.onSpinWait();
        }
        caller.close();

        assertThat(mServers.getFirst().awaitDisconnect(READ_TIMEOUT_MILLISECONDS)).isTrue();
    }

    @Test
    void aRequestTimesOutAtItsDeadline() throws IOException {
        startServers(Repetition.ONCE, (request, identifier, connection) -> {});

        String response = sendRequest("POST", "/p/", "x-deadline: 200\r\n", "sent");

        assertThat(response).startsWith("HTTP/1.1 504");
    }

    @Test
    void aRequestIsRetriedElsewhereIfItsServerIsSilent() throws IOException {
        ScriptedServer.Script silentFirst =
                failingOnFirstRequest((request, identifier, connection) -> {});
        startServers(Repetition.IDEMPOTENT, silentFirst, silentFirst);

        assertThat(sendRequest("GET", "/p/", "x-deadline: 400\r\n", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void aRequestWithConflictingLengthsIsRejected() throws IOException {
        startServers(Repetition.ONCE, completeResponse(200, SIGNATURE_HEADER, ""));

        String response =
                exchange(
                        "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
                                + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");

        assertThat(response).startsWith("HTTP/1.1 400");
        assertThat(countRequests()).isEqualTo(0);
    }

    @Test
    void aBodyOverTheLimitIsRejected() throws IOException {
        startServers(Repetition.ONCE, completeResponse(200, SIGNATURE_HEADER, ""));

        assertThat(sendRequest("POST", "/p/", "", "x".repeat(100_001))).startsWith("HTTP/1.1 413");
    }

    @Test
    void aStoppingGatewayLetsALongResponseFinish() throws IOException {
        startServers(
                Repetition.STREAM,
                (request, identifier, connection) -> {
                    write(connection, streamHead(identifier) + chunk("id: 1\ndata: a\n\n"));
                    LockSupport.parkNanos(LONG_RESPONSE_DURATION.toNanos());
                    write(connection, chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
                });
        CompletableFuture<Void> stopped = mGateway.drain();
        Socket caller = connect();
        write(caller, request("POST", "/p/", "x-deadline: 1300\r\n", "sent"));

        assertThat(read(caller)).endsWith("0\r\n\r\n");
        stopped.join();
        assertThrows(ConnectException.class, this::connect);
    }

    @Test
    void aStoppingGatewayCompletesPendingRequestsAndIsNotReady() throws IOException {
        startServers(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    LockSupport.parkNanos(LONG_RESPONSE_DURATION.toNanos());
                    completeResponse(200, SIGNATURE_HEADER, "late")
                            .respond(request, identifier, connection);
                });
        Socket caller = connect();
        write(caller, request("POST", "/p/", "", "sent"));
        while (countRequests() == 0) {
            Thread.onSpinWait();
        }

        mGateway.drain().join();

        assertThat(read(caller)).endsWith("late");
        assertThat(mGateway.isReady()).isFalse();
    }

    private void startServers(Repetition repetition, ScriptedServer.Script... scripts) {
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

    private ScriptedServer.Script failingOnFirstRequest(ScriptedServer.Script failure) {
        return (request, identifier, connection) -> {
            if (countRequests() == 1) {
                failure.respond(request, identifier, connection);
            } else if (mGateway.isReady()) {
                completeResponse(200, SIGNATURE_HEADER, "")
                        .respond(request, identifier, connection);
            }
        };
    }

    private static ScriptedServer.Script faultyResponse(ResponseFault fault) {
        return switch (fault) {
            case CLOSED -> (request, identifier, connection) -> connection.close();
            case TRUNCATED ->
                    (request, identifier, connection) -> {
                        write(
                                connection,
                                "HTTP/1.1 200 X\r\nx-request: "
                                        + identifier
                                        + "\r\n"
                                        + SIGNATURE_HEADER
                                        + "Content-Length: 9\r\n\r\ncut");
                        connection.close();
                    };
            case MALFORMED ->
                    (request, identifier, connection) -> {
                        write(connection, "these bytes are no answer\r\n\r\n");
                        connection.close();
                    };
            case UNSIGNED -> completeResponse(200, "", "body");
            case ENCODED ->
                    completeResponse(200, SIGNATURE_HEADER + "Content-Encoding: gzip\r\n", "body");
        };
    }

    private int countRequests() {
        return mServers.stream().mapToInt(server -> server.requests().size()).sum();
    }

    private String sendRequest(String method, String uri, String headers, String body)
            throws IOException {
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
                + SIGNATURE_HEADER
                + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
