package org.ibisstand.faults;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;

/** Stands between two processes and cuts, silences or restores what they send. */
final class LinkProxy implements AutoCloseable {
    private final EventLoopGroup mGroup;
    private final InetSocketAddress mTarget;
    private final ChannelGroup mOpen = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel mListener;
    private volatile boolean mDropForward;
    private volatile boolean mDropBackward;
    private volatile boolean mRefuse;

    private LinkProxy(EventLoopGroup group, InetSocketAddress listen, InetSocketAddress target) {
        mGroup = group;
        mTarget = target;
        mListener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        accept(channel);
                                    }
                                })
                        .bind(listen)
                        .syncUninterruptibly()
                        .channel();
    }

    static LinkProxy start(
            EventLoopGroup group, InetSocketAddress listen, InetSocketAddress target) {
        return new LinkProxy(group, listen, target);
    }

    int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /** Closes all connections and refuses new ones until healed. */
    void cut() {
        mRefuse = true;
        mOpen.close().syncUninterruptibly();
    }

    /** Closes all connections; new ones work. */
    void reset() {
        mOpen.close().syncUninterruptibly();
    }

    /** Drops what goes to the target on open and new connections. */
    void dropForward() {
        mDropForward = true;
    }

    /** Drops what comes from the target on open and new connections. */
    void dropBackward() {
        mDropBackward = true;
    }

    /** Lets open connections go silent for good, while new ones work. */
    void silenceOpen() {
        mOpen.forEach(channel -> channel.pipeline().addFirst(new Silence()));
    }

    /** Ends all faults; connections that lost bytes are closed, as their streams are damaged. */
    void heal() {
        boolean damaged = mDropForward || mDropBackward;
        mDropForward = false;
        mDropBackward = false;
        mRefuse = false;
        if (damaged) {
            reset();
        }
    }

    @Override
    public void close() {
        mListener.close().syncUninterruptibly();
        mOpen.close().syncUninterruptibly();
    }

    private void accept(Channel caller) {
        if (mRefuse) {
            caller.close();
            return;
        }
        mOpen.add(caller);
        new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(mTarget)
                .addListener(
                        future -> {
                            if (future.isSuccess()) {
                                join(caller, ((ChannelFuture) future).channel());
                            } else {
                                caller.close();
                            }
                        });
    }

    private void join(Channel caller, Channel target) {
        mOpen.add(target);
        caller.pipeline().addLast(new Forward(target, true));
        target.pipeline().addLast(new Forward(caller, false));
        caller.config().setAutoRead(true);
        target.config().setAutoRead(true);
    }

    /** Swallows everything that arrives. */
    private static final class Silence extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }

    /** Passes bytes on to the other side. */
    private final class Forward extends ChannelInboundHandlerAdapter {
        private final Channel mOther;
        private final boolean mToTarget;

        Forward(Channel other, boolean toTarget) {
            mOther = other;
            mToTarget = toTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mToTarget ? mDropForward : mDropBackward) {
                ReferenceCountUtil.release(message);
            } else {
                mOther.writeAndFlush(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mOther.close();
        }
    }
}
