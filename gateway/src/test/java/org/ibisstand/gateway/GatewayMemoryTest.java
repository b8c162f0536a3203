package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a gateway that keeps what others send until it runs out of memory, and takes the
 * requests of other callers with it. The gateway runs with the memory of the platform's.
 */
class GatewayMemoryTest {
    private static final String SIGNED_OK = "HTTP/1.1 200 X\r\nx-signature: s\r\n";
    private static final int READ_TIMEOUT_MILLISECONDS = 30_000;
    private static final int UPLOADS = 40;
    private static final int STREAMS = 400;
    private static final int SMALL_REQUESTS = 30;

    /** More than one incomplete event may take, so that each stream holds as much as it can. */
    private static final int EVENT_BYTES = 250_000;

    private final ExecutorService mThreads = Executors.newVirtualThreadPerTaskExecutor();
    private final ScriptedServer mSound =
            ScriptedServer.start(completeResponse(200, "x-signature: s\r\n", "served"));
    private final ScriptedServer mFaulty = ScriptedServer.start(this::respondWithoutEnd);
    private Process mGateway;
    private int mPort;

    @BeforeEach
    void startGateway() throws IOException {
        mGateway =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx96m",
                                "-XX:MaxDirectMemorySize=48m",
                                "-XX:+UseSerialGC",
                                "-XX:TieredStopAtLevel=1",
                                "-XX:+ExitOnOutOfMemoryError",
                                "-Dio.netty.allocator.numDirectArenas=1",
                                "-Dio.netty.allocator.numHeapArenas=0",
                                "-Dio.netty.allocator.maxOrder=4",
                                "-cp",
                                System.getProperty("java.class.path"),
                                GatewayProcess.class.getName(),
                                mSound.address(),
                                mFaulty.address())
                        .redirectErrorStream(true)
                        .start();
        BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(mGateway.getInputStream(), StandardCharsets.UTF_8));
        String line = output.readLine();
        while (!line.startsWith("port ")) {
            line = output.readLine();
        }
        mPort = Integer.parseInt(line.substring("port ".length()));
        mThreads.submit(() -> output.lines().forEach(ignored -> {}));
    }

    @AfterEach
    void close() {
        mGateway.destroyForcibly().onExit().join();
        mSound.close();
        mFaulty.close();
        mThreads.shutdownNow();
    }

    /** A slow upstream keeps the bodies of all uploads until their requests end. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void largeUploadsAtTheSameTimeLeaveOtherCallersServed(boolean chunked) throws Exception {
        List<Future<String>> uploads = new ArrayList<>();
        for (int upload = 0; upload < UPLOADS; upload++) {
            uploads.add(mThreads.submit(() -> upload(chunked)));
        }

        smallRequestsAreServed();
        for (Future<String> upload : uploads) {
            assertThat(upload.get()).matches("HTTP/1.1 (503|502|504).*");
        }
        assertGatewayRuns();
    }

    @Test
    void aBodyInTinyChunksTakesNoMoreThanItsSize() throws Exception {
        Future<String> upload = mThreads.submit(this::uploadInTinyChunks);

        smallRequestsAreServed();
        assertThat(upload.get()).startsWith("HTTP/1.1 ");
        assertGatewayRuns();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, UPLOADS})
    void manyUnboundedEventsLeaveOtherCallersServed(int uploads) throws Exception {
        List<Future<String>> calls = new ArrayList<>();
        for (int stream = 0; stream < STREAMS; stream++) {
            calls.add(mThreads.submit(() -> call(GatewayProcess.FAULTY_STREAM_PATH)));
        }
        for (int upload = 0; upload < uploads; upload++) {
            calls.add(mThreads.submit(() -> upload(false)));
        }

        smallRequestsAreServed();
        for (Future<String> call : calls) {
            call.get();
        }
        assertGatewayRuns();
    }

    private void smallRequestsAreServed() throws IOException {
        for (int request = 0; request < SMALL_REQUESTS; request++) {
            assertThat(call(GatewayProcess.SOUND_PATH)).startsWith("HTTP/1.1 200");
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
    }

    private void assertGatewayRuns() throws IOException {
        assertThat(call(GatewayProcess.SOUND_PATH)).startsWith("HTTP/1.1 200");
        assertWithMessage("the gateway runs").that(mGateway.isAlive()).isTrue();
    }

    /** Sends the first part of an event and nothing more; calls are never answered. */
    private void respondWithoutEnd(String request, String identifier, Socket connection)
            throws IOException {
        if (request.contains(GatewayProcess.FAULTY_STREAM_PATH)) {
            write(connection, SIGNED_OK + "x-request: " + identifier + "\r\n\r\ndata: ");
            write(connection, "x".repeat(EVENT_BYTES));
        }
    }

    private String upload(boolean chunked) throws IOException {
        byte[] body = new byte[GatewayProcess.MAXIMUM_BODY_BYTES];
        String framing =
                chunked
                        ? "Transfer-Encoding: chunked\r\n\r\n400000\r\n"
                        : "Content-Length: " + body.length + "\r\n\r\n";
        try (Socket caller = connect()) {
            write(caller, head(GatewayProcess.FAULTY_CALL_PATH) + framing);
            writeUntilRefused(caller, body);
            if (chunked) {
                writeUntilRefused(caller, "\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            return firstLine(caller);
        }
    }

    private String uploadInTinyChunks() throws IOException {
        byte[] chunks = "1\r\nx\r\n".repeat(1_000).getBytes(StandardCharsets.US_ASCII);
        try (Socket caller = connect()) {
            write(
                    caller,
                    head(GatewayProcess.FAULTY_CALL_PATH) + "Transfer-Encoding: chunked\r\n\r\n");
            for (int sent = 0; sent < GatewayProcess.MAXIMUM_BODY_BYTES; sent += 1_000) {
                writeUntilRefused(caller, chunks);
            }
            writeUntilRefused(caller, "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return firstLine(caller);
        }
    }

    private String call(String path) throws IOException {
        try (Socket caller = connect()) {
            write(caller, head(path) + "Content-Length: 0\r\n\r\n");
            return firstLine(caller);
        }
    }

    /** The gateway may answer and stop reading before it has the whole request. */
    private static void writeUntilRefused(Socket caller, byte[] bytes) {
        try {
            OutputStream output = caller.getOutputStream();
            output.write(bytes);
        } catch (IOException e) {
            // The answer is there to be read.
        }
    }

    private Socket connect() throws IOException {
        Socket caller = new Socket(InetAddress.getLoopbackAddress(), mPort);
        caller.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        return caller;
    }

    private static String head(String path) {
        return "POST "
                + path
                + " HTTP/1.1\r\nHost: h.example\r\nx-request: r1\r\nx-deadline: 8000\r\n"
                + "Connection: close\r\n";
    }

    private static String firstLine(Socket caller) throws IOException {
        String line =
                new BufferedReader(
                                new InputStreamReader(
                                        caller.getInputStream(), StandardCharsets.US_ASCII))
                        .readLine();
        return line == null ? "" : line;
    }
}
