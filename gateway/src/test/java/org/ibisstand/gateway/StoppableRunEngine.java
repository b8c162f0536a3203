package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.ibisstand.gateway.EngineGatewayTest.pause;
import static org.ibisstand.gateway.MovableRunEngine.NOT_EXECUTED_HEADER;
import static org.ibisstand.gateway.MovableRunEngine.STREAM_HEAD;
import static org.ibisstand.gateway.MovableRunEngine.await;
import static org.ibisstand.gateway.MovableRunEngine.chunk;
import static org.ibisstand.gateway.ScriptedServer.completeResponse;
import static org.ibisstand.gateway.ScriptedServer.header;
import static org.ibisstand.gateway.ScriptedServer.write;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The engines of a test: one of them sends a stream of three events, which the stop of its run cuts
 * after the second, and all of them can resume the run. Tests override what goes wrong.
 */
class StoppableRunEngine implements ScriptedServer.Script {
    private final CountDownLatch mNoticesDelivered = new CountDownLatch(1);
    private final CountDownLatch mRunStopped = new CountDownLatch(1);
    private final CountDownLatch mRunEnds = new CountDownLatch(1);
    private final AtomicInteger mResumed = new AtomicInteger();
    private volatile Socket mStreamConnection;

    /** Lets the run go on after its first event. */
    final void noticesDelivered() {
        mNoticesDelivered.countDown();
    }

    /** Closes the stream as it is. */
    final void cutStream() {
        mRunStopped.countDown();
    }

    /** Lets the stream end with its third event, unless it is cut. */
    final void endStream() {
        mRunEnds.countDown();
    }

    /** Returns how often the run was resumed. */
    final int resumed() {
        return mResumed.get();
    }

    @Override
    public void respond(String request, String identifier, Socket connection) throws IOException {
        if (!request.startsWith("POST /p/")) {
            call(request, connection);
        } else if (header(request, "x-run-source").isEmpty()) {
            mStreamConnection = connection;
            stream(connection);
        } else if (refusesResumption()) {
            completeResponse(503, NOT_EXECUTED_HEADER, "").respond(request, identifier, connection);
        } else {
            assertThat(header(request, "last-event-id")).isEqualTo("2");
            mResumed.incrementAndGet();
            write(connection, STREAM_HEAD + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
        }
    }

    void call(String request, Socket connection) throws IOException {
        if (request.startsWith("POST /copy/")) {
            copyRun(connection);
        } else if (request.startsWith("POST /move/")) {
            stopRun(connection);
        } else {
            freeCopy(request.substring("DELETE /handle/".length(), request.indexOf(" HTTP")));
            write(connection, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
        }
    }

    void copyRun(Socket connection) throws IOException {
        write(connection, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ncopy");
    }

    void stopRun(Socket connection) throws IOException {
        mRunStopped.countDown();
        write(
                connection,
                "HTTP/1.1 %d X\r\nContent-Length: 6\r\n\r\nhandle".formatted(stopStatus()));
    }

    int stopStatus() {
        return 200;
    }

    void freeCopy(String handle) {}

    boolean refusesResumption() {
        return false;
    }

    String streamHead() {
        return STREAM_HEAD;
    }

    String streamChunk(String text) {
        return streamHead().equals(STREAM_HEAD) ? chunk(text) : text;
    }

    void beforeSecondEvent() throws IOException {}

    Socket streamConnection() {
        return mStreamConnection;
    }

    /** Sends a stream that the stop of its run cuts after the second event. */
    private void stream(Socket connection) throws IOException {
        write(connection, streamHead() + streamChunk("id: 1\ndata: a\n\n"));
        await(mNoticesDelivered);
        beforeSecondEvent();
        write(connection, streamChunk("id: 2\ndata: b\n\n"));
        while (mRunStopped.getCount() > 0 && mRunEnds.getCount() > 0) {
            pause(5);
        }
        if (mRunStopped.getCount() > 0) {
            write(connection, streamChunk("id: 3\ndata: c\n\n"));
            write(connection, streamHead().equals(STREAM_HEAD) ? "0\r\n\r\n" : "");
        }
        connection.close();
    }
}
