package org.ibisstand.administration;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Reserves room in a {@link BodyBudget} for the bodies of one connection until their requests are
 * answered. A request beyond the budget is answered with 503, and one that does not arrive in time
 * ends its connection, so that slow senders do not hold the budget.
 */
final class BodyBudgetHandler extends ChannelDuplexHandler {
    private static final long BODY_TIMEOUT_MILLISECONDS = 10_000;

    private final BodyBudget mBudget;
    private final Deque<Long> mUnansweredBytes = new ArrayDeque<>();
    private long mArrivingBytes;
    private boolean mRefused;
    private boolean mAnsweredEarly;
    private Optional<Future<?>> mBodyTimeout = Optional.empty();

    BodyBudgetHandler(BodyBudget budget) {
        mBudget = budget;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (mRefused) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpContent content && !mAnsweredEarly) {
            int bytes = content.content().readableBytes();
            if (!mBudget.tryReserve(bytes)) {
                ReferenceCountUtil.release(message);
                refuse(context);
                return;
            }
            mArrivingBytes += bytes;
            received(context, content);
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        boolean isAnswer =
                message instanceof HttpResponse response
                        && response.status().codeClass() != HttpStatusClass.INFORMATIONAL;
        if (isAnswer && mUnansweredBytes.isEmpty()) {
            // The rest of a request that is answered before its end is dropped and takes no room.
            mAnsweredEarly = true;
            releaseArriving();
        } else if (isAnswer) {
            mBudget.release(mUnansweredBytes.removeFirst());
        }
        super.write(context, message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        stopTimeout();
        mUnansweredBytes.forEach(mBudget::release);
        mUnansweredBytes.clear();
        releaseArriving();
        super.channelInactive(context);
    }

    private void releaseArriving() {
        mBudget.release(mArrivingBytes);
        mArrivingBytes = 0;
    }

    private void received(ChannelHandlerContext context, HttpContent content) {
        if (content instanceof LastHttpContent) {
            mUnansweredBytes.addLast(mArrivingBytes);
            mArrivingBytes = 0;
            stopTimeout();
        } else if (mBodyTimeout.isEmpty()) {
            mBodyTimeout =
                    Optional.of(
                            context.executor()
                                    .schedule(
                                            () -> context.close(),
                                            BODY_TIMEOUT_MILLISECONDS,
                                            TimeUnit.MILLISECONDS));
        }
    }

    private void stopTimeout() {
        mBodyTimeout.ifPresent(timeout -> timeout.cancel(false));
        mBodyTimeout = Optional.empty();
    }

    private void refuse(ChannelHandlerContext context) {
        mRefused = true;
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        HttpUtil.setContentLength(response, 0);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
