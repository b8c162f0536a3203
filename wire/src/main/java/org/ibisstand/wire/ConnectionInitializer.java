package org.ibisstand.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import org.ibisstand.wire.message.Frame;

/** Sets up the codecs and timers of a new connection. */
final class ConnectionInitializer extends ChannelInitializer<Channel> {
    private static final int LENGTH_BYTES = 4;

    private final WireContext mContext;
    private final FrameHandler mHandler;
    private final boolean mInitiator;

    ConnectionInitializer(WireContext context, FrameHandler handler, boolean initiator) {
        mContext = context;
        mHandler = handler;
        mInitiator = initiator;
    }

    @Override
    protected void initChannel(Channel channel) {
        WireSettings settings = mContext.settings();
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(
                        settings.maximumFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(new ConnectionHandler(mContext, mHandler, mInitiator));
    }
}
