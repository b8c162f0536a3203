package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.write;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.ManualClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/** Engines that crash when they begin to respond to a prompt with a certain part. */
class CrashingPartTest {
    private static final int ENGINES = 6;
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** Quarantine must begin before the crash after this one. */
    private static final int MAXIMUM_CRASHES = 5;

    private static final int CRASHING_REQUESTS = 12;

    /** Engines that crash within a second might share a cause other than a prompt. */
    private static final Duration PAUSE = Duration.ofMillis(1_100);

    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final ScriptedServer[] mEngines = new ScriptedServer[ENGINES];
    private final long[] mBorn = new long[ENGINES];
    private final List<Integer> mCrashed = new ArrayList<>();
    private final AtomicInteger mCrashes = new AtomicInteger();
    private volatile Optional<Integer> mErrorStatus = Optional.empty();
    private final GatewayDaemon mGateway =
            GatewayDaemon.start(
                    Samples.SETTINGS,
                    Samples.HEADER_NAMES,
                    PromptHeader::read,
                    Samples.RUN_MOVE_PROTOCOL,
                    mClock,
                    new MetricRegistry());

    @BeforeEach
    void startEngines() {
        for (int index = 0; index < ENGINES; index++) {
            startEngine(index);
        }
    }

    @AfterEach
    void close() {
        mGateway.close();
        for (ScriptedServer engine : mEngines) {
            engine.close();
        }
    }

    @ParameterizedTest
    @EnumSource(value = Repetition.class, names = "ONCE", mode = Mode.EXCLUDE)
    void eachGatewayKeptSendingRequestsWithAPartThatCrashedEngines(Repetition repetition)
            throws IOException {
        update(repetition);
        assertThat(send("shared,own")).startsWith("HTTP/1.1 200");

        for (int request = 0; request < CRASHING_REQUESTS; request++) {
            assertThat(send("shared,crashing,own-" + request)).startsWith("HTTP/1.1 502");
            mClock.advance(PAUSE);
            restartCrashedEngines();
            update(repetition);
            assertThat(send("shared,own-" + request)).startsWith("HTTP/1.1 200");
        }

        assertThat(mCrashes.get()).isAtMost(MAXIMUM_CRASHES);
        String refusal = send("shared,crashing,own");
        assertThat(refusal).startsWith("HTTP/1.1 502");
        assertThat(ScriptedServer.header(refusal, "retry-after")).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(value = Repetition.class, names = "ONCE", mode = Mode.EXCLUDE)
    void aRequestWithAnEarlierSuspectIsNotSentToAnotherEngine(Repetition repetition)
            throws IOException {
        update(repetition);
        send("shared,crashing,own-1");
        mClock.advance(PAUSE);
        restartCrashedEngines();
        update(repetition);
        int crashesBefore = mCrashes.get();

        send("shared,crashing,own-2");

        assertThat(mCrashes.get()).isEqualTo(crashesBefore + 1);
    }

    /** An engine that refuses a request has not begun to respond to its prompt. */
    @Test
    void anErrorResponseDoesNotClearAPart() throws IOException {
        update(Repetition.RESUMABLE_STREAM);
        mErrorStatus = Optional.of(400);
        assertThat(send("shared,crashing,own")).startsWith("HTTP/1.1 400");
        mErrorStatus = Optional.empty();

        for (int request = 0; request < CRASHING_REQUESTS; request++) {
            send("shared,crashing,own-" + request);
            mClock.advance(PAUSE);
            restartCrashedEngines();
            update(Repetition.RESUMABLE_STREAM);
        }

        assertThat(mCrashes.get()).isAtMost(MAXIMUM_CRASHES);
    }

    private void startEngine(int index) {
        mBorn[index] = mClock.millis();
        mEngines[index] =
                ScriptedServer.start(
                        (request, identifier, connection) -> {
                            if (mErrorStatus.isPresent()) {
                                ScriptedServer.completeResponse(mErrorStatus.get(), "", "")
                                        .respond(request, identifier, connection);
                            } else if (ScriptedServer.header(request, PromptHeader.NAME)
                                    .contains("crashing,")) {
                                crash(index, connection);
                            } else {
                                write(connection, response(identifier));
                            }
                        });
    }

    private void crash(int index, Socket connection) throws IOException {
        synchronized (mCrashed) {
            mCrashed.add(index);
        }
        mCrashes.incrementAndGet();
        mEngines[index].close();
        connection.close();
    }

    private void restartCrashedEngines() {
        synchronized (mCrashed) {
            mCrashed.forEach(this::startEngine);
            mCrashed.clear();
        }
    }

    private void update(Repetition repetition) {
        List<ServerRecord> records = new ArrayList<>();
        for (int index = 0; index < ENGINES; index++) {
            records.add(
                    ServerRecord.newBuilder()
                            .setServer("server-" + index)
                            .setService("service")
                            .setAddress(mEngines[index].address())
                            .setBornMilliseconds(mBorn[index])
                            .setSlots(4)
                            .build());
        }
        mGateway.update(
                        new FleetState(
                                Optional.of(
                                        Samples.configuration(
                                                List.of(Samples.route("/p/", repetition)))),
                                Map.of(),
                                records,
                                1))
                .join();
    }

    private String send(String prompt) throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), mGateway.port())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
            write(
                    caller,
                    "GET /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r\r\n"
                            + "Authorization: Bearer key\r\nConnection: close\r\n"
                            + PromptHeader.NAME
                            + ": "
                            + prompt
                            + "\r\n\r\n");
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String response(String identifier) {
        String events = "id: 1\ndata: a\n\n";
        return "HTTP/1.1 200 X\r\nx-request: "
                + identifier
                + "\r\nx-signature: s\r\nContent-Length: "
                + events.length()
                + "\r\n\r\n"
                + events;
    }
}
