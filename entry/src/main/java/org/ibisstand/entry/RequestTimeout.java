package org.ibisstand.entry;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller does not send a whole request in time, however slowly its bytes
 * arrive.
 */
final class RequestTimeout extends ChannelDuplexHandler {
    private final long mTimeoutMilliseconds;
    private Optional<ScheduledFuture<?>> mTimer = Optional.empty();

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
                                            () -> channel.close(),
                                            mTimeoutMilliseconds,
                                            TimeUnit.MILLISECONDS));
        }
        channel.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext channel) {
        requestComplete();
        channel.fireChannelInactive();
    }

    /** Notes that a whole request has arrived. */
    void requestComplete() {
        mTimer.ifPresent(timer -> timer.cancel(false));
        mTimer = Optional.empty();
    }
}
