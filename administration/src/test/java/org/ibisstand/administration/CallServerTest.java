package org.ibisstand.administration;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.ibisstand.administration.CallServer.Answer;
import org.ibisstand.settings.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a process that runs out of memory as many calls bring large bodies at once. */
class CallServerTest {
    private static final int BODY_BYTES = 3 << 20;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_LARGE = 413;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private final Channel mServer =
            CallServer.start(mGroup, new Address("127.0.0.1", 0), this::handle);
    private final Semaphore mReceivedCalls = new Semaphore(0);
    private final List<Socket> mCalls = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Socket call : mCalls) {
            call.close();
        }
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Test
    void callsBeyondTheRoomForBodiesAreRefusedAndTheOthersAreAnswered() throws IOException {
        Socket first = call(BODY_BYTES);
        Socket second = call(BODY_BYTES);
        mReceivedCalls.acquireUninterruptibly(2);

        assertThat(statusOf(call(BODY_BYTES))).isEqualTo(UNAVAILABLE);

        mAnswer.complete(Answer.of(OK));
        assertThat(statusOf(first)).isEqualTo(OK);
        assertThat(statusOf(second)).isEqualTo(OK);
    }

    @Test
    void roomIsFreeAgainOnceCallsAreAnsweredOrTheirCallersLeave() throws IOException {
        Socket left = call(BODY_BYTES);
        left.close();
        mAnswer.complete(Answer.of(OK));

        for (int call = 0; call < 10; call++) {
            assertThat(statusOf(call(BODY_BYTES))).isEqualTo(OK);
        }
    }

    /** The rest of a refused body must not take the room of other calls. */
    @Test
    void aBodyThatIsTooLargeIsRefusedAndOtherCallsAreAnswered() throws IOException {
        mAnswer.complete(Answer.of(OK));
        assertThat(statusOf(call(64 << 20))).isEqualTo(TOO_LARGE);

        for (int call = 0; call < 3; call++) {
            assertThat(statusOf(call(BODY_BYTES))).isEqualTo(OK);
        }
    }

    private CompletableFuture<Answer> handle(String method, String uri, byte[] body) {
        mReceivedCalls.release();
        return mAnswer;
    }

    /** Sends a call with a body; the server may refuse it before it has read the whole body. */
    private Socket call(int bodyBytes) throws IOException {
        Socket socket = new Socket("127.0.0.1", ServerPort.of(mServer));
        mCalls.add(socket);
        OutputStream output = socket.getOutputStream();
        String head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        output.write(head.getBytes(StandardCharsets.US_ASCII));
        try {
            output.write(new byte[bodyBytes]);
        } catch (IOException e) {
            // The answer is there to be read.
        }
        return socket;
    }

    private static int statusOf(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] start = input.readNBytes("HTTP/1.1 200".length());
        String line = new String(start, StandardCharsets.US_ASCII);
        return Integer.parseInt(line.substring(line.indexOf(' ') + 1));
    }
}
