package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
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
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that a stopping gateway takes late, passes on, and cuts at the end of its
 * stop time without an answer. The routes allow requests two seconds, the stop one and a half.
 */
class GatewayStopTest {
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** With the margin for longer requests of the same route, longer than the stop. */
    private static final long LONG_RUN_MILLISECONDS = 1_200;

    /** The listener closes after a seventh of the stop. */
    private static final long LISTENER_CLOSED_MILLISECONDS = 400;

    private static final String HEAD =
            "POST /p/ HTTP/1.1\r\nHost: h.example\r\nx-request: r1\r\n"
                    + "Authorization: Bearer key\r\nContent-Length: 4\r\n";
    private static final String BODY = "sent";

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

    /** How a request arrives at a gateway that stops. */
    enum Arrival {
        NEW_CONNECTION(""),
        HEAD_IN_PROGRESS(HEAD),
        BODY_IN_PROGRESS(HEAD + "\r\n" + "se");

        private final String mSentBeforeStop;

        Arrival(String sentBeforeStop) {
            mSentBeforeStop = sentBeforeStop;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRequestThatMayOutlastTheStopIsRefusedBeforeItRuns(Arrival arrival) throws IOException {
        startServer(Repetition.ONCE, (request, identifier, connection) -> {});
        try (Socket caller = connect()) {
            write(caller, arrival.mSentBeforeStop);
            mGateway.drain();
            write(caller, (HEAD + "\r\n" + BODY).substring(arrival.mSentBeforeStop.length()));

            String response = read(caller);

            assertThat(response).startsWith("HTTP/1.1 503");
            assertThat(response).contains("Retry-After: 0\r\n");
            assertThat(mServers.getFirst().requests()).isEmpty();
        }
    }

    @Test
    void aRequestOfARouteThatIsFastOfLateIsServedDuringTheStop() throws IOException {
        startServer(Repetition.ONCE, completeResponse(200, "x-signature: s\r\n", "served"));
        try (Socket first = connect();
                Socket second = connect()) {
            write(first, HEAD + "Connection: close\r\n\r\n" + BODY);
            assertThat(read(first)).endsWith("served");

            mGateway.drain();
            write(second, HEAD + "\r\n" + BODY);

            assertThat(read(second)).endsWith("served");
        }
    }

    @Test
    void aRequestIsRefusedIfAnotherOfItsRouteTakesLong() throws Exception {
        startServer(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    if (request.endsWith("slow")) {
                        return;
                    }
                    completeResponse(200, "x-signature: s\r\n", "served")
                            .respond(request, identifier, connection);
                });
        try (Socket fast = connect();
                Socket slow = connect();
                Socket late = connect()) {
            write(fast, HEAD + "Connection: close\r\n\r\n" + BODY);
            assertThat(read(fast)).endsWith("served");
            write(slow, HEAD + "\r\n" + "slow");
            TimeUnit.MILLISECONDS.sleep(LONG_RUN_MILLISECONDS);

            mGateway.drain();
            write(late, HEAD + "\r\n" + BODY);

            assertThat(read(late)).startsWith("HTTP/1.1 503");
        }
    }

    /** How long the request takes that another one waits behind. */
    enum FirstRequest {
        SHORT(0, "served", 2),
        MAY_OUTLAST_THE_STOP(LONG_RUN_MILLISECONDS, "HTTP/1.1 503", 1);

        private final long mMilliseconds;
        private final String mSecondResponse;
        private final int mServedRequests;

        FirstRequest(long milliseconds, String secondResponse, int servedRequests) {
            mMilliseconds = milliseconds;
            mSecondResponse = secondResponse;
            mServedRequests = servedRequests;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aRequestBehindAnotherGetsAResponseOfItsOwnWhileTheGatewayStops(FirstRequest first)
            throws IOException {
        CountDownLatch stopping = new CountDownLatch(1);
        startServer(
                Repetition.ONCE,
                (request, identifier, connection) -> {
                    awaitLatch(stopping);
                    sleep(first.mMilliseconds);
                    completeResponse(200, "x-signature: s\r\n", "served")
                            .respond(request, identifier, connection);
                });
        try (Socket caller = connect()) {
            write(caller, (HEAD + "\r\n" + BODY).repeat(2));
            awaitRequest();
            mGateway.drain();
            stopping.countDown();

            String responses = read(caller);

            int endOfFirst = responses.indexOf("served") + "served".length();
            assertThat(responses.substring(0, endOfFirst)).startsWith("HTTP/1.1 200");
            assertThat(responses.substring(0, endOfFirst)).doesNotContain("close");
            assertThat(responses.substring(endOfFirst)).contains(first.mSecondResponse);
            assertThat(responses.substring(endOfFirst)).contains("connection: close");
            assertThat(mServers.getFirst().requests()).hasSize(first.mServedRequests);
        }
    }

    @Test
    void aRequestInProgressAtTheEndOfTheStopIsAnsweredThatItMayHaveRun() throws IOException {
        startServer(Repetition.ONCE, (request, identifier, connection) -> {});
        try (Socket caller = connect()) {
            write(caller, HEAD + "\r\n" + BODY);
            awaitRequest();

            mGateway.drain().join();

            assertThat(read(caller)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void aRequestThatIsHalfReadAtTheEndOfTheStopIsRefused() throws IOException {
        startServer(Repetition.ONCE, (request, identifier, connection) -> {});
        try (Socket caller = connect()) {
            write(caller, HEAD + "\r\n" + "se");

            mGateway.drain().join();

            assertThat(read(caller)).startsWith("HTTP/1.1 503");
            assertThat(mServers.getFirst().requests()).isEmpty();
        }
    }

    @Test
    void theFirstRequestOfANewConnectionIsReadAfterTheListenerCloses() throws Exception {
        startServer(Repetition.ONCE, (request, identifier, connection) -> {});
        try (Socket caller = connect()) {
            mGateway.drain();
            TimeUnit.MILLISECONDS.sleep(LISTENER_CLOSED_MILLISECONDS);
            write(caller, HEAD + "\r\n" + BODY);

            assertThat(read(caller)).startsWith("HTTP/1.1 503");
        }
    }

    private void startServer(Repetition repetition, ScriptedServer.Script script) {
        ScriptedServer server = ScriptedServer.start(script);
        mServers.add(server);
        ServerRecord record =
                ServerRecord.newBuilder()
                        .setServer("server")
                        .setService("service")
                        .setAddress(server.address())
                        .setSlots(4)
                        .build();
        FleetState state =
                new FleetState(
                        Optional.of(
                                Samples.configuration(List.of(Samples.route("/p/", repetition)))),
                        Map.of(),
                        List.of(record),
                        1);
        mGateway.update(state).join();
    }

    private void awaitRequest() {
        while (mServers.getFirst().requests().isEmpty()) {
            Thread.onSpinWait();
        }
    }

    private static void awaitLatch(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void sleep(long milliseconds) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(milliseconds);
        } catch (InterruptedException e) {
            throw new IOException(e);
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
}
