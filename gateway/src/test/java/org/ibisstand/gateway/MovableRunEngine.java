package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends three events, and waits after the second for the request that stops the run, or for the one
 * that copies it if that is refused.
 */
final class MovableRunEngine implements ScriptedServer.Script {
    static final String STREAM_HEAD =
            "HTTP/1.1 200 X\r\nx-request: r1\r\nx-signature: s\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n";
    static final String NOT_EXECUTED_HEADER = "x-not-executed: 1\r\n";
    private static final int WAIT_SECONDS = 10;

    private final CountDownLatch mNoticesDelivered;
    private final CountDownLatch mMoveRequested;
    private final Outcome mOutcome;
    private volatile boolean mStopped;

    /** Outcomes of the gateway's request to stop a run and copy its KV cache to another engine. */
    enum Outcome {
        COPIED("200", "handle"),
        NOT_COPIED("503", "handle"),
        COPY_REJECTED("200", "handle"),
        LOST("200", "handle"),
        NOT_STOPPED("503", ""),
        NO_ROOM("503", "");

        private final String mStatus;
        private final String mHandle;

        Outcome(String status, String handle) {
            mStatus = status;
            mHandle = handle;
        }
    }

    /**
     * Creates the script of one engine.
     *
     * @param noticesDelivered opened once the gateway knows that the engine is about to load
     * @param moveRequested opened by the request that moves the run
     * @param outcome what becomes of that request
     */
    MovableRunEngine(
            CountDownLatch noticesDelivered, CountDownLatch moveRequested, Outcome outcome) {
        mNoticesDelivered = noticesDelivered;
        mMoveRequested = moveRequested;
        mOutcome = outcome;
    }

    @Override
    public void respond(String request, String identifier, Socket connection) throws IOException {
        if (request.startsWith("DELETE /handle/")) {
            completeResponse(200, "", "").respond(request, identifier, connection);
        } else if (request.startsWith("POST /copy/") && mOutcome != Outcome.NO_ROOM) {
            completeResponse(200, "", "copy").respond(request, identifier, connection);
        } else if (!request.startsWith("POST /p/")) {
            mStopped = !mOutcome.mHandle.isEmpty();
            mMoveRequested.countDown();
            write(
                    connection,
                    "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s"
                            .formatted(
                                    mOutcome.mStatus, mOutcome.mHandle.length(), mOutcome.mHandle));
        } else if (header(request, "x-run-source").isEmpty()) {
            streamEvents(connection);
        } else if (acceptsStoppedRun()) {
            assertThat(header(request, "last-event-id")).isEqualTo("2");
            write(connection, STREAM_HEAD + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        } else {
            completeResponse(503, NOT_EXECUTED_HEADER, "").respond(request, identifier, connection);
        }
    }

    private boolean acceptsStoppedRun() {
        return switch (mOutcome) {
            case COPIED -> !mStopped;
            case NOT_COPIED, COPY_REJECTED -> mStopped;
            case LOST, NOT_STOPPED, NO_ROOM -> false;
        };
    }

    private void streamEvents(Socket connection) throws IOException {
        write(connection, STREAM_HEAD + chunk("id: 1\ndata: a\n\n"));
        await(mNoticesDelivered);
        write(connection, chunk("id: 2\ndata: b\n\n"));
        await(mMoveRequested);
        if (mStopped) {
            connection.close();
        } else {
            write(connection, chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        }
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    static void await(CountDownLatch latch) throws IOException {
        try {
            assertThat(latch.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }
}
