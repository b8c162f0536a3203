package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.whole;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.settings.RoutingConfiguration.TeamKeys;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The gateway before model engines: cache of teams and weights, and runs that move. */
class EngineGatewayTest {
    private static final String HEAD =
            "HTTP/1.1 200 X\r\nx-request: r1\r\nx-signature: s\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String SIGNED = "x-signature: s\r\n";
    private static final String REFUSED = "x-not-executed: 1\r\n";
    private static final String MODEL = "model";
    private static final String WHOLE_STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** More than the system holds of what one socket sent and its peer did not read. */
    private static final long SOCKET_BUFFERS_BYTES = 16 << 20;

    private final List<ScriptedServer> mServers = new ArrayList<>();
    private RoutingConfiguration mConfiguration;
    private final CountDownLatch mNoticed = new CountDownLatch(1);
    private final CountDownLatch mMoveAsked = new CountDownLatch(1);
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.NAMES,
                    headers ->
                            Optional.of(
                                    new Prompt(
                                            MODEL, 100, 10, List.of(new Prompt.Part("own", 100)))),
                    Samples.RUN_MOVES,
                    MonotonicClock.start(),
                    new MetricRegistry());

    @AfterEach
    void close() {
        mGateway.close();
        mServers.forEach(ScriptedServer::close);
    }

    /** Teams of the configuration, and what separates their cached prompts. */
    enum Team {
        SHARED("key", "shared"),
        ISOLATED("secret", "team-t2");

        private final String mKey;
        private final String mSalt;

        Team(String key, String salt) {
            mKey = key;
            mSalt = salt;
        }
    }

    @ParameterizedTest
    @EnumSource(Team.class)
    void isolatedTeamsShareNoCacheAndWeightsNeverDo(Team team) throws IOException {
        serve(Repetition.ONCE, whole(200, SIGNED, "first"));
        weights(1, 1);
        call(team);
        weights(2, 2);
        call(team);

        List<String> requests = mServers.getFirst().requests();
        assertThat(header(requests.get(0), "x-salt")).isEqualTo(team.mSalt + "-1");
        assertThat(header(requests.get(1), "x-salt")).isEqualTo(team.mSalt + "-2");
        assertThat(header(requests.get(0), "x-expected-weights")).isEqualTo("1");
        assertThat(header(requests.get(1), "x-expected-weights")).isEqualTo("2");
    }

    @Test
    void anEngineThatHasOtherWeightsRefusesAndIsAskedWithThemNext() throws IOException {
        ScriptedServer.Script onlyNewest =
                (request, identifier, connection) -> {
                    boolean isExpected = header(request, "x-expected-weights").equals("2");
                    int status = isExpected ? 200 : 421;
                    whole(status, isExpected ? SIGNED : "", "")
                            .answer(request, identifier, connection);
                };
        serve(Repetition.ONCE, onlyNewest);
        weights(2, 1);

        assertThat(call(Team.SHARED)).startsWith("HTTP/1.1 503");
        assertThat(call(Team.SHARED)).startsWith("HTTP/1.1 200");
        assertThat(header(mServers.getFirst().requests().getLast(), "x-salt"))
                .isEqualTo("shared-2");
    }

    /** What becomes of a run that the gateway asks its engine to hand over. */
    enum Handover {
        COPIED("200", "handle"),
        STOPPED_WITHOUT_ROOM("503", "handle"),
        COPY_REFUSED("200", "handle"),
        LOST("200", "handle"),
        NOT_STOPPED("503", "");

        private final String mStatus;
        private final String mHandle;

        Handover(String status, String handle) {
            mStatus = status;
            mHandle = handle;
        }
    }

    @ParameterizedTest
    @EnumSource(Handover.class)
    void aRunGoesOnBeforeItsEngineLoadsWeights(Handover handover) throws Exception {
        serve(Repetition.STREAM, new MovingEngine(handover), new MovingEngine(handover));

        String answer = streamWhileTheEngineIsToLoad();

        if (handover == Handover.LOST) {
            assertThat(answer).contains("id: 2");
            assertThat(answer).doesNotContain("id: 3");
            assertThat(answer).doesNotContain("0\r\n\r\n");
        } else {
            assertThat(answer.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(WHOLE_STREAM);
            assertThat(answer).endsWith("0\r\n\r\n");
        }
    }

    @Test
    void aRunGoesToAnEngineThatNoAgentSpeaksOfWhereThereIsNoOther() throws Exception {
        serve(
                Repetition.STREAM,
                new MovingEngine(Handover.COPIED),
                new MovingEngine(Handover.COPIED));

        String answer = streamWhileTheEngineIsToLoad(false);

        assertThat(answer.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(WHOLE_STREAM);
    }

    /** A refusal (503) promises that the request has not run. */
    @Test
    void aRunThatStoppedBeforeItsFirstEventWasAnsweredAsNotRun() throws Exception {
        ScriptedServer.Script moving = new MovingEngine(Handover.LOST);
        ScriptedServer.Script stopping =
                (request, identifier, connection) -> {
                    boolean isFirst =
                            request.startsWith("POST /p/")
                                    && header(request, "x-run-source").isEmpty();
                    if (isFirst) {
                        await(mNoticed);
                        write(connection, HEAD + chunk("id: 1\nda"));
                        await(mMoveAsked);
                        connection.close();
                    } else {
                        moving.answer(request, identifier, connection);
                    }
                };
        serve(Repetition.STREAM, stopping, stopping);

        assertThat(streamWhileTheEngineIsToLoad()).startsWith("HTTP/1.1 502");
    }

    @Test
    void aRunStaysWhereNoOtherEngineHasItsWeights() throws Exception {
        serve(Repetition.STREAM, new MovingEngine(Handover.COPIED));
        mMoveAsked.countDown();

        assertThat(streamWhileTheEngineIsToLoad()).endsWith("0\r\n\r\n");
        assertThat(mServers.getFirst().requests()).hasSize(1);
    }

    @Test
    void anEndlessAnswerToAMoveIsReadNoFurtherThanItsLimit() throws Exception {
        AtomicLong sentBytes = new AtomicLong();
        ScriptedServer.Script moving = new MovingEngine(Handover.NOT_STOPPED);
        ScriptedServer.Script endless =
                (request, identifier, connection) -> {
                    if (request.startsWith("POST /move/")) {
                        sendWithoutEnd(connection, sentBytes);
                    } else {
                        moving.answer(request, identifier, connection);
                    }
                };
        serve(Repetition.STREAM, endless, endless);

        String answer = streamWhileTheEngineIsToLoad();

        assertThat(answer.replaceAll("\r\n[0-9a-f]+\r\n", "")).contains(WHOLE_STREAM);
        assertThat(sentBytes.get()).isLessThan(SOCKET_BUFFERS_BYTES);
    }

    /** Sends a body until the connection is closed, and then lets the run go on. */
    private void sendWithoutEnd(Socket connection, AtomicLong sentBytes) throws IOException {
        String block = "x".repeat(8_192);
        try {
            write(connection, "HTTP/1.1 200 X\r\n\r\n");
            while (true) {
                write(connection, block);
                sentBytes.addAndGet(block.length());
            }
        } finally {
            mMoveAsked.countDown();
        }
    }

    /** Asks for a stream, and lets its engine be noticed as about to load after event 1. */
    private String streamWhileTheEngineIsToLoad() throws Exception {
        return streamWhileTheEngineIsToLoad(true);
    }

    private String streamWhileTheEngineIsToLoad(boolean othersAreNoticed) throws Exception {
        weights(1, 1);
        try (Socket caller = connect()) {
            write(caller, request("key"));
            ScriptedServer first = null;
            while (first == null) {
                Thread.onSpinWait();
                first =
                        mServers.stream()
                                .filter(server -> !server.requests().isEmpty())
                                .findFirst()
                                .orElse(null);
            }
            EngineNotices.Builder notices = EngineNotices.newBuilder();
            for (ScriptedServer server : othersAreNoticed ? mServers : List.of(first)) {
                notices.addEngines(
                        EngineNotice.newBuilder()
                                .setAddress(server.address())
                                .setLoading(server == first)
                                .putWeights(MODEL, 1));
            }
            mGateway.noticed(notices.build()).join();
            mNoticed.countDown();
            return read(caller);
        }
    }

    /** Makes three events; after the second it waits for the call that moves the run. */
    private final class MovingEngine implements ScriptedServer.Script {
        private final Handover mHandover;
        private volatile boolean mStopped;

        MovingEngine(Handover handover) {
            mHandover = handover;
        }

        @Override
        public void answer(String request, String identifier, Socket connection)
                throws IOException {
            if (request.startsWith("POST /move/")) {
                mStopped = !mHandover.mHandle.isEmpty();
                mMoveAsked.countDown();
                write(
                        connection,
                        "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s"
                                .formatted(
                                        mHandover.mStatus,
                                        mHandover.mHandle.length(),
                                        mHandover.mHandle));
            } else if (header(request, "x-run-source").isEmpty()) {
                run(connection);
            } else if (goesOn()) {
                assertThat(header(request, "last-event-id")).isEqualTo("2");
                write(connection, HEAD + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
            } else {
                whole(503, REFUSED, "").answer(request, identifier, connection);
            }
        }

        private boolean goesOn() {
            return switch (mHandover) {
                case COPIED -> !mStopped;
                case STOPPED_WITHOUT_ROOM, COPY_REFUSED -> mStopped;
                case LOST, NOT_STOPPED -> false;
            };
        }

        private void run(Socket connection) throws IOException {
            write(connection, HEAD + chunk("id: 1\ndata: a\n\n"));
            await(mNoticed);
            write(connection, chunk("id: 2\ndata: b\n\n"));
            await(mMoveAsked);
            if (mStopped) {
                connection.close();
            } else {
                write(connection, chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
            }
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            assertThat(latch.await(READ_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void serve(Repetition repetition, ScriptedServer.Script... scripts) {
        for (ScriptedServer.Script script : scripts) {
            mServers.add(ScriptedServer.start(script));
        }
        mConfiguration = configuration(repetition);
    }

    /** Makes all engines announce weights, and operators name some. */
    private void weights(long named, long announced) {
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
                                Optional.of(mConfiguration), Map.of(MODEL, named), records, 1))
                .join();
    }

    private static RoutingConfiguration configuration(Repetition repetition) {
        return new RoutingConfiguration(
                1,
                List.of(Samples.route("/p/", repetition)),
                List.of(
                        new RoutedService(
                                "service",
                                "/health",
                                100,
                                Optional.of(
                                        new RoutedService.Engine(
                                                4, 10_000, 10, 1_000, true, List.of(MODEL))),
                                Optional.empty())),
                new CallerLimits(16384, 100_000, 3000, 15000),
                Optional.of(
                        List.of(
                                new TeamKeys("t1", List.of("key"), Optional.empty(), false),
                                new TeamKeys("t2", List.of("secret"), Optional.empty(), true))));
    }

    private String call(Team team) throws IOException {
        try (Socket caller = connect()) {
            write(caller, request(team.mKey));
            return read(caller);
        }
    }

    private static String request(String key) {
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

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
