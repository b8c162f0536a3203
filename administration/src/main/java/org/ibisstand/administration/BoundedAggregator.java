package org.ibisstand.administration;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.ErrorCode;

/**
 * Joins the parts of a request and answers a body that is too large with a coded error.
 *
 * <p>The rest of such a body is read and dropped before the connection closes, since a connection
 * that is closed with unread bytes is reset, and a reset takes the answer away from the sender.
 */
public class BoundedAggregator extends HttpObjectAggregator {
    private static final long LONGEST_REST_MILLISECONDS = 5_000;

    private boolean mRefused;

    /**
     * Creates an aggregator for one connection.
     *
     * @param maximumBodyBytes the largest body that is accepted
     */
    public BoundedAggregator(int maximumBodyBytes) {
        super(maximumBodyBytes, true);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!mRefused) {
            super.channelRead(context, message);
            return;
        }
        boolean isLast = message instanceof LastHttpContent;
        ReferenceCountUtil.release(message);
        if (isLast) {
            context.close();
        }
    }

    @Override
    protected Object newContinueResponse(
            HttpMessage start, int maximumBodyBytes, ChannelPipeline pipeline) {
        Object response = super.newContinueResponse(start, maximumBodyBytes, pipeline);
        boolean tooLarge =
                response instanceof FullHttpResponse full
                        && full.status().equals(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return tooLarge ? refusal() : response;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        mRefused = true;
        context.writeAndFlush(refusal());
        context.executor()
                .schedule(() -> context.close(), LONGEST_REST_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    private FullHttpResponse refusal() {
        String message = "the body is larger than " + maxContentLength() + " bytes";
        return HttpResponses.of(AdministrationResponse.error(ErrorCode.BODY_TOO_LARGE, message));
    }
}
