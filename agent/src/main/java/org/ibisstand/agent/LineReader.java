package org.ibisstand.agent;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/**
 * Splits a response body of unlimited length into lines. Ends a response with a line that is too
 * long, or whose lines come faster than they are handled.
 */
final class LineReader implements AsyncHandler<Void> {
    private static final int OK = 200;

    /** An event that names all pieces of an engine in the largest fleet. */
    private static final int MAXIMUM_LINE_BYTES = 2 << 20;

    /** Lines that were passed on and not handled yet; a few of the longest ones. */
    static final int MAXIMUM_WAITING_BYTES = 6 << 20;

    private final BiConsumer<String, Runnable> mLineListener;
    private final AtomicLong mWaitingBytes = new AtomicLong();
    private final Runnable mEndListener;
    private final ByteArrayOutputStream mPartialLine = new ByteArrayOutputStream();

    /**
     * Creates a reader for one response.
     *
     * @param lineListener receives each line, and what to run once the line is handled
     * @param endListener runs once when the response has completed or failed
     */
    LineReader(BiConsumer<String, Runnable> lineListener, Runnable endListener) {
        mLineListener = lineListener;
        mEndListener = endListener;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        return status.getStatusCode() == OK ? State.CONTINUE : State.ABORT;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        for (byte octet : part.getBodyPartBytes()) {
            if (octet == '\n') {
                passOnLine();
            } else {
                mPartialLine.write(octet);
            }
        }
        boolean isTooMuch =
                mPartialLine.size() > MAXIMUM_LINE_BYTES
                        || mWaitingBytes.get() > MAXIMUM_WAITING_BYTES;
        return isTooMuch ? State.ABORT : State.CONTINUE;
    }

    private void passOnLine() {
        int bytes = mPartialLine.size();
        String line = mPartialLine.toString(StandardCharsets.UTF_8);
        mPartialLine.reset();
        mWaitingBytes.addAndGet(bytes);
        mLineListener.accept(line, () -> mWaitingBytes.addAndGet(-bytes));
    }

    @Override
    public Void onCompleted() {
        mEndListener.run();
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        mEndListener.run();
    }
}
