package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One call to an engine that moves a run, or a part of it. Reports exactly one reply. Confined to
 * the gateway's event loop.
 */
final class RunMoveCall implements ExchangeListener {
    /** Longer than engines keep the KV cache of a stopped run. */
    private static final long LIFETIME_MILLISECONDS = 6_000;

    /** The response holds the handle of a run's KV cache, which is far shorter. */
    private static final int MAXIMUM_RESPONSE_BYTES = 1 << 14;

    private final GatewayContext mGateway;
    private final Consumer<RunMoveProtocol.Reply> mListener;
    private Optional<BackendClient.Exchange> mExchange = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private int mStatus;
    private boolean mDone;

    private RunMoveCall(GatewayContext gateway, Consumer<RunMoveProtocol.Reply> listener) {
        mGateway = gateway;
        mListener = listener;
    }

    /**
     * Sends a call.
     *
     * @param gateway the gateway
     * @param server the engine that is called
     * @param call the call; this method takes ownership
     * @param listener receives the reply
     */
    static void send(
            GatewayContext gateway,
            BackendServer server,
            FullHttpRequest call,
            Consumer<RunMoveProtocol.Reply> listener) {
        call.headers().set(HttpHeaderNames.HOST, server.address().toString());
        RunMoveCall moveCall = new RunMoveCall(gateway, listener);
        moveCall.mExchange =
                Optional.of(
                        gateway.backendClient()
                                .send(
                                        server,
                                        call,
                                        BackendConnection.NO_REQUEST_IDENTIFIER,
                                        Long.MAX_VALUE,
                                        moveCall));
        gateway.schedule("end_call", () -> moveCall.fail("no response"), LIFETIME_MILLISECONDS);
    }

    @Override
    public void onNotSent(String reason) {
        finish(new RunMoveProtocol.Refused(reason));
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
        if (!mDone) {
            finish(mGateway.runMoveProtocol().parseResponse(mStatus, ByteBufUtil.getBytes(mBody)));
        }
    }

    @Override
    public void onFailure(String reason) {
        fail(reason);
    }

    private void fail(String reason) {
        finish(new RunMoveProtocol.Unclear(reason));
    }

    private void finish(RunMoveProtocol.Reply reply) {
        if (!mDone) {
            mDone = true;
            mExchange.ifPresent(BackendClient.Exchange::cancel);
            mBody.release();
            mListener.accept(reply);
        }
    }
}
