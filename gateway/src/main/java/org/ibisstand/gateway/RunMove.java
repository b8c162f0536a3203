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
 * Moves one run from an engine that will soon stop serving to another one, within the same response
 * to the caller. Confined to the gateway's event loop.
 *
 * <p>This covers weight loads during long streams. An engine that waits for its longest response
 * before the load serves no requests for seconds, and a response that continues with other weights
 * or after the load is worthless or late. A copy takes a few milliseconds.
 *
 * <p>The stream ends without its last event and the engine responds to the move request, in either
 * order; the run resumes once both are known.
 */
final class RunMove implements ExchangeListener {
    /** Covers twenty round trips between availability zones and the copies queued on two links. */
    private static final long RESPONSE_TIMEOUT_MILLISECONDS = 600;

    /**
     * How long the end of the stream may arrive after the response, which uses another connection.
     * Below the pause of 400 ms that the platforms' specifications allow between events.
     */
    private static final long STREAM_END_TIMEOUT_MILLISECONDS = 300;

    /** The response holds the handle of a run's KV cache, which is far shorter. */
    private static final int MAXIMUM_RESPONSE_BYTES = 1 << 14;

    private final RunMover mMover;
    private final GatewayContext mGateway;
    private final Attempt mAttempt;
    private final BackendServer mTarget;
    private Optional<BackendClient.Exchange> mExchange = Optional.empty();
    private Optional<RunMoveProtocol.StoppedRun> mStoppedRun = Optional.empty();
    private Optional<Runnable> mStreamEndHandler = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private int mStatus;
    private boolean mDone;

    RunMove(RunMover mover, GatewayContext gateway, Attempt attempt, BackendServer target) {
        mMover = mover;
        mGateway = gateway;
        mAttempt = attempt;
        mTarget = target;
    }

    void start(String requestIdentifier) {
        BackendServer server = mAttempt.server();
        FullHttpRequest moveRequest =
                mGateway.runMoveProtocol()
                        .moveRequest(requestIdentifier, mTarget.address().toString());
        moveRequest.headers().set(HttpHeaderNames.HOST, server.address().toString());
        mExchange =
                Optional.of(
                        mGateway.backendClient()
                                .send(
                                        server,
                                        moveRequest,
                                        BackendConnection.NO_REQUEST_IDENTIFIER,
                                        Long.MAX_VALUE,
                                        this));
        mGateway.loop()
                .schedule(
                        this::responseTimedOut,
                        RESPONSE_TIMEOUT_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Handles the end of the stream, which may be the effect of this move.
     *
     * @param handler runs if the run was not stopped
     */
    void streamEnded(Runnable handler) {
        mStreamEndHandler = Optional.of(handler);
        mStoppedRun.ifPresent(this::complete);
    }

    /** Cancels the move without notifying the mover, because the request has ended. */
    void cancel() {
        if (!mDone) {
            mDone = true;
            mExchange.ifPresent(BackendClient.Exchange::cancel);
            mBody.release();
        }
    }

    @Override
    public void onNotSent(String reason) {
        fail(reason);
    }

    @Override
    public void onHead(HttpResponse head) {
        mStatus = head.status().code();
    }

    @Override
    public void onData(ByteBuf data) {
        if (mDone) {
            return;
        }
        if (mBody.readableBytes() + data.readableBytes() > MAXIMUM_RESPONSE_BYTES) {
            fail("overlong_answer");
        } else {
            mBody = mBody.isReadable() ? mBody : Unpooled.buffer(data.readableBytes());
            mBody.writeBytes(data, data.readerIndex(), data.readableBytes());
        }
    }

    @Override
    public void onComplete(boolean delimited) {
        if (mDone) {
            return;
        }
        mStoppedRun =
                mGateway.runMoveProtocol().parseResponse(mStatus, ByteBufUtil.getBytes(mBody));
        if (mStoppedRun.isEmpty()) {
            fail("status " + mStatus + " " + mBody.toString(StandardCharsets.UTF_8));
        } else if (mStreamEndHandler.isPresent()) {
            complete(mStoppedRun.get());
        } else {
            RunMoveProtocol.StoppedRun stoppedRun = mStoppedRun.get();
            mGateway.loop()
                    .schedule(
                            () -> complete(stoppedRun),
                            STREAM_END_TIMEOUT_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void onFailure(String reason) {
        fail(reason);
    }

    private void responseTimedOut() {
        if (mStoppedRun.isEmpty()) {
            fail("response timed out");
        }
    }

    private void complete(RunMoveProtocol.StoppedRun stoppedRun) {
        if (!mDone) {
            cancel();
            mMover.runStopped(mAttempt, mTarget, stoppedRun, mStreamEndHandler.isPresent());
        }
    }

    private void fail(String reason) {
        if (!mDone) {
            cancel();
            mMover.moveFailed(mAttempt, mTarget, reason, mStreamEndHandler);
        }
    }
}
