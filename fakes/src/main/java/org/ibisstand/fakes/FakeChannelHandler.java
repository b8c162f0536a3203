package org.ibisstand.fakes;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.function.Consumer;
import org.ibisstand.base.LogLine;

/** Turns the requests of one connection into exchanges. */
final class FakeChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int SERVER_ERROR = 500;

    private final Consumer<HttpExchange> mHandler;
    private HttpExchange mExchange;

    FakeChannelHandler(Consumer<HttpExchange> handler) {
        mHandler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        mExchange =
                new HttpExchange(
                        context.channel(),
                        request.method().name(),
                        new QueryStringDecoder(request.uri()),
                        request.headers().copy(),
                        ByteBufUtil.getBytes(request.content()),
                        HttpUtil.isKeepAlive(request));
        try {
            mHandler.accept(mExchange);
        } catch (RuntimeException e) {
            LogLine.warning("fake_failed").cause(e).write();
            mExchange.respondText(SERVER_ERROR, "text/plain", "failed");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (mExchange != null) {
            mExchange.closed();
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
