package org.ibisstand.agent;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * Drops interim (1xx) responses before the final one. Closes the connection if there are too many
 * or if the server switches protocols.
 */
final class InterimResponseFilter extends ChannelInboundHandlerAdapter {
    /** Servers send one or two interim responses before the final one. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    private int mInterimResponses;
    private boolean mSkipping;
    private boolean mClosed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse head) {
            onResponseHead(context, head);
        }
        if (mSkipping || mClosed) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void onResponseHead(ChannelHandlerContext context, HttpResponse head) {
        boolean isProtocolSwitch = head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        mSkipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        mInterimResponses = mSkipping ? mInterimResponses + 1 : 0;
        if (!mClosed && (isProtocolSwitch || mInterimResponses > MAXIMUM_INTERIM_RESPONSES)) {
            mClosed = true;
            context.fireExceptionCaught(
                    new IbisstandException(
                            ErrorCode.BACKEND_FAILED,
                            "the server switched protocols or sent too many interim responses"));
            context.close();
        }
    }
}
