package org.ibisstand.entry;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibisstand.administration.AdministrationResponse;
import org.ibisstand.administration.HttpResponses;
import org.ibisstand.base.ErrorCode;

/**
 * Ends a connection whose caller does not send a whole request in time, however slowly its bytes
 * arrive.
 */
final class RequestTimeout extends ChannelDuplexHandler {
    private final long mTimeoutMilliseconds;
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();
    private boolean mServed;

    RequestTimeout(long timeoutMilliseconds) {
        mTimeoutMilliseconds = timeoutMilliseconds;
    }

    @Override
    public void channelRead(ChannelHandlerContext channel, Object message) {
        if (mTimer.isEmpty()) {
            mTimer =
                    Optional.of(
                            channel.executor()
                                    .schedule(
                                            () -> expire(channel),
                                            mTimeoutMilliseconds,
                                            TimeUnit.MILLISECONDS));
        }
        channel.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        stopTimer();
        channel.fireChannelInactive();
    }

    /** Notes that a whole request has arrived. */
    void requestComplete() {
        mServed = true;
        stopTimer();
    }

    /** An earlier request may still be answered, so only a first one can be told what happened. */
    private void expire(ChannelHandlerContext channel) {
        if (mServed) {
            channel.close();
            return;
        }
        AdministrationResponse answer =
                AdministrationResponse.error(
                        ErrorCode.REQUEST_TIMEOUT, "the request did not arrive in time");
        channel.channel()
                .writeAndFlush(HttpResponses.of(answer))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void stopTimer() {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer = Optional.empty();
    }
}
