package org.ibisstand.agent;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.netty.channel.ChannelManager;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;

/**
 * Decides which received bytes belong to an exchange of a kept connection.
 *
 * <p>The pipeline has an HTTP codec only from a request to the end of its final response, so no
 * state of a decoder outlives its exchange. Bytes that arrive outside an exchange, or behind its
 * end, close the connection before it can be used again.
 */
final class ExchangeHandler extends ChannelDuplexHandler {
    private static final String INTERIM_RESPONSE_FILTER = "interim-response-filter";

    /**
     * How long after the end of a connection a reset may follow it; an engine that leaves a part of
     * the request unread resets within a few milliseconds.
     */
    private static final long RESET_DELAY_MILLISECONDS = 30;

    /** Written to notice a reset; an engine that still reads ignores it in place of a request. */
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private boolean mIsInProgress;
    private boolean mRequestHasBody;
    private boolean mRequestWritten;
    private boolean mDelimited;
    private boolean mCheckingReset;
    private boolean mClosed;

    private ExchangeHandler() {}

    /** Replaces the HTTP codec that a connection has from its start. */
    static void addTo(ChannelPipeline pipeline) {
        pipeline.addAfter(
                ChannelManager.HTTP_CLIENT_CODEC,
                INTERIM_RESPONSE_FILTER,
                new InterimResponseFilter());
        pipeline.addAfter(INTERIM_RESPONSE_FILTER, null, new ExchangeHandler());
        pipeline.remove(ChannelManager.HTTP_CLIENT_CODEC);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpRequest request && !mIsInProgress) {
            mIsInProgress = true;
            context.pipeline()
                    .addBefore(
                            INTERIM_RESPONSE_FILTER,
                            ChannelManager.HTTP_CLIENT_CODEC,
                            new ExchangeCodec(request.method()));
            mRequestHasBody = false;
            mRequestWritten = false;
        }
        mRequestHasBody |= message instanceof HttpContent content && content.content().isReadable();
        boolean isLast = message instanceof LastHttpContent;
        ChannelPromise written = context.newPromise();
        written.addListener(
                result -> {
                    mRequestWritten = isLast && result.isSuccess();
                    report(result, promise);
                });
        context.write(message, written);
    }

    /**
     * Reports the result of a write of the request. Its failure does not matter once the response
     * is complete: the client closes the connection then, and would take the failure for one of the
     * exchange.
     */
    private void report(Future<?> result, ChannelPromise promise) {
        if (result.isSuccess() || !mIsInProgress) {
            promise.trySuccess();
        } else {
            promise.tryFailure(result.cause());
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!mIsInProgress) {
            closeFor(context, message);
            return;
        }
        if (message instanceof HttpResponse head) {
            mDelimited =
                    HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        }
        if (!(message instanceof LastHttpContent last)) {
            context.fireChannelRead(message);
        } else if (mDelimited || !((SocketChannel) context.channel()).isInputShutdown()) {
            complete(context, last);
        } else {
            endByClose(context, last);
        }
    }

    /** The codec has seen the end of the connection before and passed on the end of content. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mCheckingReset) {
            context.close();
        }
        context.fireUserEventTriggered(event);
    }

    private void complete(ChannelHandlerContext context, LastHttpContent last) {
        mIsInProgress = false;
        // The codec passes on the bytes that it has not decoded before it is removed.
        context.pipeline().remove(ChannelManager.HTTP_CLIENT_CODEC);
        context.fireChannelRead(last);
    }

    /** Handles the end of a response that nothing but the end of the connection marks. */
    private void endByClose(ChannelHandlerContext context, LastHttpContent last) {
        if (!mRequestWritten) {
            fail(context, last, "the server closed the connection before it received the request");
        } else if (mRequestHasBody) {
            mCheckingReset = true;
            context.executor()
                    .schedule(
                            () -> checkReset(context, last),
                            RESET_DELAY_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        } else {
            complete(context, last);
        }
    }

    /**
     * Checks by a write whether the server reset the connection after it closed it, as the system
     * does if the server left a part of the request unread. A read does not report such a reset.
     */
    private void checkReset(ChannelHandlerContext context, LastHttpContent last) {
        ChannelHandlerContext codec = context.pipeline().context(ChannelManager.HTTP_CLIENT_CODEC);
        if (codec == null) {
            last.release();
            return;
        }
        // Past the encoder, which has no message to add the bytes to.
        codec.writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                .addListener(
                        written -> {
                            if (written.isSuccess()) {
                                complete(context, last);
                            } else {
                                fail(
                                        context,
                                        last,
                                        "the server reset the connection before it read the"
                                                + " request");
                            }
                        });
    }

    private static void fail(ChannelHandlerContext context, LastHttpContent last, String reason) {
        last.release();
        context.fireExceptionCaught(new IbisstandException(ErrorCode.BACKEND_FAILED, reason));
        context.close();
    }

    private void closeFor(ChannelHandlerContext context, Object message) {
        if (!mClosed) {
            mClosed = true;
            LogLine.warning("server_connection_closed")
                    .with("server", context.channel().remoteAddress())
                    .with("reason", "bytes outside an exchange")
                    .with("bytes", message instanceof ByteBuf bytes ? bytes.readableBytes() : 0)
                    .write();
            context.close();
        }
        ReferenceCountUtil.release(message);
    }
}
