package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.MovableRunEngine.STREAM_HEAD;
import static org.ibisstand.gateway.MovableRunEngine.await;
import static org.ibisstand.gateway.MovableRunEngine.chunk;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.write;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the gateway with scripted engines: cache salts by team and weights version, and runs that
 * are moved to another engine.
 */
class EngineGatewayTest {
    private static final String SIGNATURE_HEADER = "x-signature: s\r\n";
    private static final String MODEL = "model";
    private static final String COMPLETE_STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** Longer than a move and the requests that resume its run take together. */
    static final long TIMEOUT_MILLISECONDS = 9_000;

    /**
     * More than the socket buffers hold of bytes that one socket sent and its peer did not read.
     */
    private static final long SOCKET_BUFFERS_BYTES = 16 << 20;

    private final List<ScriptedServer> mServers = new ArrayList<>();
    private RoutingConfiguration mConfiguration;
    private final CountDownLatch mNoticesDelivered = new CountDownLatch(1);
    private final CountDownLatch mMoveRequested = new CountDownLatch(1);
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.HEADER_NAMES,
                    headers ->
                            Optional.of(
                                    new Prompt(
                                            MODEL, 100, 10, List.of(new Prompt.Part("own", 100)))),
                    Samples.RUN_MOVE_PROTOCOL,
                    MonotonicClock.start(),
                    new MetricRegistry());

    @AfterEach
    void close() {
        mGateway.close();
        mServers.forEach(ScriptedServer::close);
    }

    /** Teams of the configuration by API key and cache group. */
    enum Team {
        SHARED("key", "shared"),
        ISOLATED("secret", "team-t2");

        private final String mKey;
        private final String mCacheGroup;

        Team(String key, String cacheGroup) {
            mKey = key;
            mCacheGroup = cacheGroup;
        }
    }

    @ParameterizedTest
    @EnumSource(Team.class)
    void theCacheSaltSeparatesIsolatedTeamsAndWeightsVersions(Team team) throws IOException {
        startServers(Repetition.ONCE, completeResponse(200, SIGNATURE_HEADER, "first"));
        setWeights(1, 1);
        sendRequest(team);
        setWeights(2, 2);
        sendRequest(team);

        List<String> requests = mServers.getFirst().requests();
        assertThat(header(requests.get(0), "x-salt")).isEqualTo("1/5/model/" + team.mCacheGroup);
        assertThat(header(requests.get(1), "x-salt")).isEqualTo("2/5/model/" + team.mCacheGroup);
        assertThat(header(requests.get(0), "x-expected-weights")).isEqualTo("1");
        assertThat(header(requests.get(1), "x-expected-weights")).isEqualTo("2");
    }

    @Test
    void afterAWeightsMismatchTheNextRequestExpectsTheNewestVersion() throws IOException {
        ScriptedServer.Script onlyVersionTwo =
                (request, identifier, connection) -> {
                    boolean isExpected = header(request, "x-expected-weights").equals("2");
                    int status = isExpected ? 200 : 421;
                    completeResponse(status, isExpected ? SIGNATURE_HEADER : "", "")
                            .respond(request, identifier, connection);
                };
        startServers(Repetition.ONCE, onlyVersionTwo);
        setWeights(2, 1);

        assertThat(sendRequest(Team.SHARED)).startsWith("HTTP/1.1 503");
        assertThat(sendRequest(Team.SHARED)).startsWith("HTTP/1.1 200");
        assertThat(header(mServers.getFirst().requests().getLast(), "x-salt"))
                .isEqualTo("2/5/model/shared");
    }

    @ParameterizedTest
    @EnumSource(MovableRunEngine.Outcome.class)
    void aMovedRunCompletesOrIsVisiblyTruncated(MovableRunEngine.Outcome outcome) throws Exception {
        startServers(
                Repetition.STREAM,
                new MovableRunEngine(mNoticesDelivered, mMoveRequested, outcome),
                new MovableRunEngine(mNoticesDelivered, mMoveRequested, outcome));

        String response = streamWhileEngineIsAboutToLoad();

        if (outcome == MovableRunEngine.Outcome.LOST) {
            assertThat(response).contains("id: 2");
            assertThat(response).doesNotContain("id: 3");
            assertThat(response).doesNotContain("0\r\n\r\n");
        } else {
            assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(COMPLETE_STREAM);
            assertThat(response).endsWith("0\r\n\r\n");
        }
    }

    /**
     * A run that resumed at the engine that had stopped it used the same connection, where a late
     * copy of its first response has its identifier.
     */
    @Test
    void aResumedRunTookACopyOfItsFirstResponseForItsRest() throws Exception {
        ScriptedServer.Script movable =
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.NOT_COPIED);
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        String firstResponse =
                STREAM_HEAD
                        + chunk("id: 1\ndata: a\n\n")
                        + chunk("id: 2\ndata: b\n\n")
                        + "0\r\n\r\n";
        ScriptedServer.Script repeating =
                (request, identifier, connection) -> {
                    if (!request.startsWith("POST /p/")) {
                        movable.respond(request, identifier, connection);
                    } else if (header(request, "x-run-source").isEmpty()) {
                        used.add(connection);
                        await(mNoticesDelivered);
                        write(connection, firstResponse.substring(0, firstResponse.length() - 5));
                        await(mMoveRequested);
                        write(connection, "0\r\n\r\n");
                    } else {
                        write(connection, used.contains(connection) ? firstResponse : "");
                        movable.respond(request, identifier, connection);
                    }
                };
        startServers(Repetition.STREAM, repeating, repeating);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(COMPLETE_STREAM);
    }

    @Test
    void aRunMovesToAnEngineWithoutNoticeIfThereIsNoOther() throws Exception {
        startServers(
                Repetition.STREAM,
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.COPIED),
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.COPIED));

        String response = streamWhileEngineIsAboutToLoad(false);

        assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(COMPLETE_STREAM);
    }

    /**
     * A 503 response promises that the request has not run. It was sent for a run that its engine
     * stopped for a move before the first whole event and that could not be resumed.
     */
    @Test
    void aRunStoppedBeforeItsFirstEventWasReportedAsNotExecuted() throws Exception {
        ScriptedServer.Script movable =
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.LOST);
        ScriptedServer.Script stopping =
                (request, identifier, connection) -> {
                    boolean isFirst =
                            request.startsWith("POST /p/")
                                    && header(request, "x-run-source").isEmpty();
                    if (isFirst) {
                        await(mNoticesDelivered);
                        write(connection, STREAM_HEAD + chunk("id: 1\nda"));
                        await(mMoveRequested);
                        connection.close();
                    } else {
                        movable.respond(request, identifier, connection);
                    }
                };
        startServers(Repetition.STREAM, stopping, stopping);

        assertThat(streamWhileEngineIsAboutToLoad()).startsWith("HTTP/1.1 502");
    }

    /** The engine stops the run, has no room for a copy and asks for no requests. */
    @Test
    void aPausedEngineDoesNotGetTheRunBackThatItStopped() throws Exception {
        ScriptedServer.Script pausing =
                (request, identifier, connection) -> {
                    if (request.startsWith("POST /move/")) {
                        mMoveRequested.countDown();
                        write(
                                connection,
                                "HTTP/1.1 503 X\r\nRetry-After: 5\r\nContent-Length: 6\r\n\r\n"
                                        + "handle");
                    } else if (header(request, "x-run-source").isEmpty()) {
                        write(connection, STREAM_HEAD + chunk("id: 1\ndata: a\n\n"));
                        await(mNoticesDelivered);
                        write(connection, chunk("id: 2\ndata: b\n\n"));
                        await(mMoveRequested);
                    } else {
                        write(connection, STREAM_HEAD + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
                    }
                    connection.close();
                };
        startServers(Repetition.STREAM, pausing, pausing);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response).contains("id: 2");
        assertThat(response).doesNotContain("0\r\n\r\n");
        assertThat(
                        mServers.stream()
                                .flatMap(server -> server.requests().stream())
                                .filter(request -> !header(request, "x-run-source").isEmpty())
                                .toList())
                .isEmpty();
    }

    /**
     * An engine that stops a run for a move closes its stream without its end. Without a length,
     * that looks like the end.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 500 X\r\n\r\n"})
    void aStreamWithoutALengthThatAMoveStoppedLookedComplete(String responseToMove)
            throws Exception {
        ScriptedServer.Script stopping =
                (request, identifier, connection) -> {
                    if (request.startsWith("POST /copy/")) {
                        write(connection, "HTTP/1.1 200 X\r\n\r\ncopy");
                    } else if (request.startsWith("POST /move/")) {
                        mMoveRequested.countDown();
                        pause(100);
                        write(connection, responseToMove);
                    } else if (!header(request, "x-run-source").isEmpty()) {
                        refuse(request, identifier, connection);
                    } else {
                        write(
                                connection,
                                STREAM_HEAD.replace("Transfer-Encoding: chunked\r\n", "")
                                        + "id: 1\ndata: a\n\n");
                        await(mNoticesDelivered);
                        write(connection, "id: 2\ndata: b\n\n");
                        await(mMoveRequested);
                    }
                    connection.close();
                };
        startServers(Repetition.STREAM, stopping, stopping);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response).contains("id: 2");
        assertThat(response).doesNotContain("0\r\n\r\n");
    }

    /** An engine may carry out a move after the gateway has given it up. */
    @Test
    void aStreamWithoutALengthThatALateMoveStoppedLookedComplete() throws Exception {
        ScriptedServer.Script stopping =
                (request, identifier, connection) -> {
                    if (request.startsWith("POST /copy/")) {
                        write(connection, "HTTP/1.1 200 X\r\n\r\ncopy");
                    } else if (request.startsWith("POST /move/")) {
                        mMoveRequested.countDown();
                        pause(1_000);
                    } else if (!header(request, "x-run-source").isEmpty()) {
                        refuse(request, identifier, connection);
                    } else {
                        write(
                                connection,
                                STREAM_HEAD.replace("Transfer-Encoding: chunked\r\n", "")
                                        + "id: 1\ndata: a\n\n");
                        await(mNoticesDelivered);
                        write(connection, "id: 2\ndata: b\n\n");
                        await(mMoveRequested);
                        pause(900);
                    }
                    connection.close();
                };
        startServers(Repetition.STREAM, stopping, stopping);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response).contains("id: 2");
        assertThat(response).doesNotContain("0\r\n\r\n");
    }

    /** The request of the move was released twice, and the end of the stream was never handled. */
    @Test
    void aStreamWhoseMoveFoundNoConnectionWaitedForTheWholeTime() throws Exception {
        ScriptedServer.Script unreachable =
                (request, identifier, connection) -> {
                    write(connection, STREAM_HEAD + chunk("id: 1\ndata: a\n\n"));
                    await(mNoticesDelivered);
                    for (ScriptedServer server : mServers) {
                        server.close();
                    }
                    pause(50);
                    write(connection, chunk("id: 2\ndata: b\n\n"));
                    pause(200);
                    write(connection, chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
                };
        startServers(Repetition.STREAM, unreachable, unreachable);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(COMPLETE_STREAM);
        assertThat(response).endsWith("0\r\n\r\n");
    }

    private static void refuse(String request, String identifier, Socket connection)
            throws IOException {
        completeResponse(503, MovableRunEngine.NOT_EXECUTED_HEADER, "")
                .respond(request, identifier, connection);
    }

    static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aRunStaysIfNoOtherEngineHasItsWeights() throws Exception {
        startServers(
                Repetition.STREAM,
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.COPIED));
        mMoveRequested.countDown();

        assertThat(streamWhileEngineIsAboutToLoad()).endsWith("0\r\n\r\n");
        assertThat(mServers.getFirst().requests()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"POST /copy/", "POST /move/"})
    void anUnboundedResponseToAMoveIsReadOnlyUpToItsLimit(String unboundedCall) throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        ScriptedServer.Script movable =
                new MovableRunEngine(
                        mNoticesDelivered, mMoveRequested, MovableRunEngine.Outcome.NOT_STOPPED);
        ScriptedServer.Script unbounded =
                (request, identifier, connection) -> {
                    if (request.startsWith(unboundedCall)) {
                        sendUnboundedBody(connection, sentBytes);
                    } else {
                        movable.respond(request, identifier, connection);
                    }
                };
        startServers(Repetition.STREAM, unbounded, unbounded);

        String response = streamWhileEngineIsAboutToLoad();

        assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(COMPLETE_STREAM);
        assertThat(sentBytes.get()).isLessThan(SOCKET_BUFFERS_BYTES);
    }

    /** Sends a body until the connection is closed, and then lets the run continue. */
    private void sendUnboundedBody(Socket connection, AtomicLong sentBytes) throws IOException {
        String block = "x".repeat(8_192);
        try {
            write(connection, "HTTP/1.1 200 X\r\n\r\n");
            while (true) {
                write(connection, block);
                sentBytes.addAndGet(block.length());
            }
        } finally {
            mMoveRequested.countDown();
        }
    }

    /** Requests a stream; a notice after event 1 says that its engine is about to load weights. */
    private String streamWhileEngineIsAboutToLoad() throws Exception {
        return streamWhileEngineIsAboutToLoad(true);
    }

    private String streamWhileEngineIsAboutToLoad(boolean hasNoticesOfOthers) throws Exception {
        setWeights(1, 1);
        try (Socket caller = connect()) {
            write(caller, request("key"));
            ScriptedServer streaming = null;
            while (streaming == null) {
                Thread.onSpinWait();
                streaming =
                        mServers.stream()
                                .filter(server -> !server.requests().isEmpty())
                                .findFirst()
                                .orElse(null);
            }
            EngineNotices.Builder notices = EngineNotices.newBuilder();
            for (ScriptedServer server : hasNoticesOfOthers ? mServers : List.of(streaming)) {
                notices.addEngines(
                        EngineNotice.newBuilder()
                                .setAddress(server.address())
                                .setLoading(server == streaming)
                                .putWeights(MODEL, 1));
            }
            mGateway.updateEngines(notices.build()).join();
            mNoticesDelivered.countDown();
            return read(caller);
        }
    }

    private void startServers(Repetition repetition, ScriptedServer.Script... scripts) {
        for (ScriptedServer.Script script : scripts) {
            mServers.add(ScriptedServer.start(script));
        }
        mConfiguration = Samples.engineConfiguration(repetition, TIMEOUT_MILLISECONDS);
    }

    /** Sets the weights version that operators ordered and the one that all engines announce. */
    private void setWeights(long ordered, long announced) {
        List<ServerRecord> records = new ArrayList<>();
        for (ScriptedServer server : mServers) {
            records.add(
                    ServerRecord.newBuilder()
                            .setServer("server-" + records.size())
                            .setService("service")
                            .setAddress(server.address())
                            .setSlots(4)
                            .putWeights(MODEL, announced)
                            .build());
        }
        mGateway.update(
                        new FleetState(
                                Optional.of(mConfiguration), Map.of(MODEL, ordered), records, 1))
                .join();
    }

    private String sendRequest(Team team) throws IOException {
        try (Socket caller = connect()) {
            write(caller, request(team.mKey));
            return read(caller);
        }
    }

    static String request(String key) {
        return "POST /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r1\r\nAuthorization: Bearer "
                + key
                + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), mGateway.port());
        caller.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static String read(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
}
