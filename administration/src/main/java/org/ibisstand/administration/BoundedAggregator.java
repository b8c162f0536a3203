package org.ibisstand.administration;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import org.ibisstand.base.ErrorCode;

/** Joins the parts of a request and answers a body that is too large with a coded error. */
final class BoundedAggregator extends HttpObjectAggregator {
    BoundedAggregator(int maximumBodyBytes) {
        super(maximumBodyBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        String message = "the body is larger than " + maxContentLength() + " bytes";
        context.writeAndFlush(
                        HttpResponses.of(
                                AdministrationResponse.error(ErrorCode.BODY_TOO_LARGE, message)))
                .addListener(ChannelFutureListener.CLOSE);
    }
}
