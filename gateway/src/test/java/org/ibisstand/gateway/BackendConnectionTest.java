package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A connection to a backend server carries one request after the other. */
class BackendConnectionTest {
    private static final int PATIENCE_SECONDS = 10;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final CompletableFuture<Void> mSecondArrived = new CompletableFuture<>();
    private final CompletableFuture<Void> mFirstCancelled = new CompletableFuture<>();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void cancellingAnEndedRequestCutTheNextOneOnItsConnection() throws Exception {
        Channel server = serve();
        EventLoop loop = mGroup.next();
        BackendServer backend = server((InetSocketAddress) server.localAddress());
        BackendExchanges exchanges =
                new BackendExchanges(loop, Samples.NAMES, MonotonicClock.start());
        Outcome first = new Outcome();
        Outcome second = new Outcome();

        CompletableFuture<BackendExchanges.Exchange> ended =
                CompletableFuture.supplyAsync(
                        () -> send(exchanges, backend, "/first", first), loop);
        assertThat(first.mEnd.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("finished");
        loop.execute(() -> send(exchanges, backend, "/second", second));
        mSecondArrived.get(PATIENCE_SECONDS, TimeUnit.SECONDS);
        loop.submit(() -> ended.join().cancel()).sync();
        mFirstCancelled.complete(null);

        assertThat(second.mEnd.get(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("finished");
    }

    private static BackendExchanges.Exchange send(
            BackendExchanges exchanges, BackendServer backend, String path, Outcome outcome) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        return exchanges.send(
                backend, request, BackendConnection.NO_REQUEST, Long.MAX_VALUE, outcome);
    }

    private static BackendServer server(InetSocketAddress address) {
        return new BackendServer(
                ServerRecord.newBuilder()
                        .setServer("server")
                        .setAddress("127.0.0.1:" + address.getPort())
                        .setState(ServerRecord.State.READY)
                        .build());
    }

    /** Answers the second request once the first has been cancelled. */
    private Channel serve() {
        ChannelInitializer<Channel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1024))
                                .addLast(new Answers());
                    }
                };
        return new ServerBootstrap()
                .group(mGroup)
                .channel(NioServerSocketChannel.class)
                .childHandler(initializer)
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/second")) {
                mSecondArrived.complete(null);
                mFirstCancelled.thenRun(() -> answer(context));
            } else {
                answer(context);
            }
        }

        private static void answer(ChannelHandlerContext context) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set("content-length", 0);
            context.writeAndFlush(response);
        }
    }

    /** How a request ended. */
    private static final class Outcome implements ExchangeListener {
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();

        @Override
        public void notSent(String reason) {
            mEnd.complete(reason);
        }

        @Override
        public void head(HttpResponse head) {
            assertThat(head.status()).isEqualTo(HttpResponseStatus.OK);
        }

        @Override
        public void data(ByteBuf data) {
            mEnd.complete("a body that was not sent");
        }

        @Override
        public void finished(boolean framed) {
            mEnd.complete("finished");
        }

        @Override
        public void broken(String reason) {
            mEnd.complete(reason);
        }
    }
}
