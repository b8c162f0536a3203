package org.ibisstand.entry;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.group.ChannelGroup;

/** Closes connections beyond the number that an entry serves at once. */
final class ConnectionLimit extends ChannelInitializer<Channel> {
    private final int mMaximumConnections;
    private final ChannelGroup mOpen;
    private final ChannelHandler mNext;

    ConnectionLimit(int maximumConnections, ChannelGroup open, ChannelHandler next) {
        mMaximumConnections = maximumConnections;
        mOpen = open;
        mNext = next;
    }

    @Override
    protected void initChannel(Channel channel) {
        if (mOpen.size() >= mMaximumConnections) {
            channel.close();
            return;
        }
        mOpen.add(channel);
        channel.pipeline().addLast(mNext);
    }
}
