package org.ibisstand.agent;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Splits a response body of unlimited length into lines. */
final class LineReader implements AsyncHandler<Void> {
    private static final int OK = 200;
    private static final int MAXIMUM_LINE_BYTES = 16 * 1024 * 1024;

    private final Consumer<String> mLineListener;
    private final Runnable mEndListener;
    private final ByteArrayOutputStream mPartialLine = new ByteArrayOutputStream();

    /**
     * Creates a reader for one response.
     *
     * @param lineListener receives each line
     * @param endListener runs once when the response has completed or failed
     */
    LineReader(Consumer<String> lineListener, Runnable endListener) {
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
                mLineListener.accept(mPartialLine.toString(StandardCharsets.UTF_8));
                mPartialLine.reset();
            } else {
                mPartialLine.write(octet);
            }
        }
        return mPartialLine.size() > MAXIMUM_LINE_BYTES ? State.ABORT : State.CONTINUE;
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
