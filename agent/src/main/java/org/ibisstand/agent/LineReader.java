package org.ibisstand.agent;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Reads an endless response line by line. */
final class LineReader implements AsyncHandler<Void> {
    private static final int OK = 200;
    private static final int LONGEST_LINE_BYTES = 16 * 1024 * 1024;

    private final Consumer<String> mLine;
    private final Runnable mEnded;
    private final ByteArrayOutputStream mPart = new ByteArrayOutputStream();

    /**
     * Creates a reader for one response.
     *
     * @param line receives each line
     * @param ended runs once when the response is over for any reason
     */
    LineReader(Consumer<String> line, Runnable ended) {
        mLine = line;
        mEnded = ended;
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
        for (byte one : part.getBodyPartBytes()) {
            if (one == '\n') {
                mLine.accept(mPart.toString(StandardCharsets.UTF_8));
                mPart.reset();
            } else {
                mPart.write(one);
            }
        }
        return mPart.size() > LONGEST_LINE_BYTES ? State.ABORT : State.CONTINUE;
    }

    @Override
    public Void onCompleted() {
        mEnded.run();
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        mEnded.run();
    }
}
