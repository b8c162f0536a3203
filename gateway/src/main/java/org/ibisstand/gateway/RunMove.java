package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Takes one run from an engine that is about to serve nobody to another one, inside the same answer
 * to the caller; for the traffic thread only.
 *
 * <p>It answers the pattern of weights that are loaded while long streams run: an engine that waits
 * for its longest answer serves nobody for seconds, and an answer that goes on with other weights,
 * or after the pause of a load, is late or worth nothing. A copy takes a few milliseconds.
 *
 * <p>The stream ends without its last event and the engine answers the call, in either order; the
 * run goes on once both are known.
 */
final class RunMove implements ExchangeListener {
    /** Twenty round trips between availability zones, and the copies queued on two links. */
    private static final long PATIENCE_MILLISECONDS = 600;

    /**
     * The answer and the last bytes of the stream travel on two connections; below the pause of 400
     * ms that the platforms' sheets allow between events.
     */
    private static final long CLOSE_MILLISECONDS = 300;

    /** The answer holds the name of a run's memory, which is far shorter. */
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 14;

    private final RunContinuation mRun;
    private final Gateway mGateway;
    private final Attempt mAttempt;
    private final BackendServer mTarget;
    private Optional<BackendExchanges.Exchange> mCall = Optional.empty();
    private Optional<RunMoveProtocol.StoppedRun> mStopped = Optional.empty();
    private Optional<Runnable> mStreamEnd = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private int mStatus;
    private boolean mDone;

    RunMove(RunContinuation run, Gateway gateway, Attempt attempt, BackendServer target) {
        mRun = run;
        mGateway = gateway;
        mAttempt = attempt;
        mTarget = target;
    }

    void start(String request) {
        BackendServer server = mAttempt.server();
        FullHttpRequest call =
                mGateway.runMoves().moveRequest(request, mTarget.address().toString());
        call.headers().set(HttpHeaderNames.HOST, server.address().toString());
        mCall =
                Optional.of(
                        mGateway.exchanges()
                                .send(
                                        server,
                                        call,
                                        BackendConnection.NO_REQUEST,
                                        Long.MAX_VALUE,
                                        this));
        mGateway.loop().schedule(this::expire, PATIENCE_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes the end of the stream, which may be the stop that was asked for.
     *
     * @param otherwise what the end means if the run was not stopped
     */
    void streamEnded(Runnable otherwise) {
        mStreamEnd = Optional.of(otherwise);
        mStopped.ifPresent(this::goOn);
    }

    /** Ends the move without a word, as its request has ended. */
    void cancel() {
        if (!mDone) {
            mDone = true;
            mCall.ifPresent(BackendExchanges.Exchange::cancel);
            mBody.release();
        }
    }

    @Override
    public void notSent(String reason) {
        fail(reason);
    }

    @Override
    public void head(HttpResponse head) {
        mStatus = head.status().code();
    }

    @Override
    public void data(ByteBuf data) {
        if (mDone) {
            return;
        }
        if (mBody.readableBytes() + data.readableBytes() > MAXIMUM_ANSWER_BYTES) {
            fail("overlong_answer");
        } else {
            mBody = mBody.isReadable() ? mBody : Unpooled.buffer(data.readableBytes());
            mBody.writeBytes(data, data.readerIndex(), data.readableBytes());
        }
    }

    @Override
    public void finished(boolean framed) {
        if (mDone) {
            return;
        }
        mStopped = mGateway.runMoves().parseResponse(mStatus, ByteBufUtil.getBytes(mBody));
        if (mStopped.isEmpty()) {
            fail("status " + mStatus + " " + mBody.toString(StandardCharsets.UTF_8));
        } else if (mStreamEnd.isPresent()) {
            goOn(mStopped.get());
        } else {
            RunMoveProtocol.StoppedRun stopped = mStopped.get();
            mGateway.loop()
                    .schedule(() -> goOn(stopped), CLOSE_MILLISECONDS, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void broken(String reason) {
        fail(reason);
    }

    private void expire() {
        if (mStopped.isEmpty()) {
            fail("no answer");
        }
    }

    private void goOn(RunMoveProtocol.StoppedRun stopped) {
        if (!mDone) {
            cancel();
            mRun.moved(mAttempt, mTarget, stopped, mStreamEnd.isPresent());
        }
    }

    private void fail(String reason) {
        if (!mDone) {
            cancel();
            mRun.notMoved(mAttempt, mTarget, reason, mStreamEnd);
        }
    }
}
