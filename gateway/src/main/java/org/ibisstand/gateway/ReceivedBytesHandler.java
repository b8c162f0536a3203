package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports received bytes to a backend connection before they are decoded. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
    private final BackendConnection mConnection;

    ReceivedBytesHandler(BackendConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (mConnection.acceptBytes(bytes.readableBytes())) {
            context.fireChannelRead(bytes);
        } else {
            bytes.release();
        }
    }
}
