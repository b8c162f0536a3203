package org.ibisstand.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpObject;
import java.util.List;
import org.ibisstand.administration.BoundedAggregator;

/** Gathers whole requests, and stops the timer of each once it is there. */
final class RequestAggregator extends BoundedAggregator {
    private final RequestTimeout mTimeout;

    RequestAggregator(int maximumBodyBytes, RequestTimeout timeout) {
        super(maximumBodyBytes);
        mTimeout = timeout;
    }

    @Override
    protected void decode(ChannelHandlerContext channel, HttpObject message, List<Object> out)
            throws Exception {
        int before = out.size();
        super.decode(channel, message, out);
        if (out.size() > before) {
            mTimeout.requestComplete();
        }
    }
}
