package org.ibisstand.agent;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.ReferenceCountUtil;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Passes over interim heads before an answer, and closes the connection if there is no end. */
final class InterimHeads extends ChannelInboundHandlerAdapter {
    /** A server has one or two to say before an answer. */
    private static final int MAXIMUM_HEADS = 16;

    private int mHeads;
    private boolean mSkipping;
    private boolean mClosed;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse head) {
            readHead(context, head);
        }
        if (mSkipping || mClosed) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    private void readHead(ChannelHandlerContext context, HttpResponse head) {
        boolean isOther = head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
        mSkipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        mHeads = mSkipping ? mHeads + 1 : 0;
        if (!mClosed && (isOther || mHeads > MAXIMUM_HEADS)) {
            mClosed = true;
            context.fireExceptionCaught(
                    new IbisstandException(
                            ErrorCode.BACKEND_FAILED, "interim heads that no answer follows"));
            context.close();
        }
    }
}
