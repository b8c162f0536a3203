package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Shows a connection to a backend server its bytes before they are decoded. */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
    private final BackendConnection mConnection;

    ReceivedBytes(BackendConnection connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (mConnection.receives(bytes.readableBytes())) {
            context.fireChannelRead(bytes);
        } else {
            bytes.release();
        }
    }
}
