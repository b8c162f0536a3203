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
import java.net.Socket;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.MonotonicClock;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the reuse of one backend connection by successive requests. */
class BackendConnectionTest {
    private static final int TIMEOUT_SECONDS = 10;

    private final NioEventLoopGroup mGroup = new NioEventLoopGroup(1);
    private final CompletableFuture<Void> mSecondReceived = new CompletableFuture<>();
    private final CompletableFuture<Void> mFirstCancelled = new CompletableFuture<>();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Cancelling a request that had already completed closed its connection, which by then carried
     * the next request.
     */
    @Test
    void cancellingACompletedRequestAbortedTheNextOneOnItsConnection() throws Exception {
        Channel server = startServer();
        EventLoop loop = mGroup.next();
        BackendServer backend = backendServer((InetSocketAddress) server.localAddress());
        BackendClient exchanges =
                new BackendClient(loop, Samples.HEADER_NAMES, MonotonicClock.start());
        OutcomeListener firstOutcome = new OutcomeListener();
        OutcomeListener secondOutcome = new OutcomeListener();

        CompletableFuture<BackendClient.Exchange> firstExchange =
                CompletableFuture.supplyAsync(
                        () -> send(exchanges, backend, "/first", firstOutcome), loop);
        assertThat(firstOutcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo("finished");
        loop.execute(() -> send(exchanges, backend, "/second", secondOutcome));
        mSecondReceived.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        loop.submit(() -> firstExchange.join().cancel()).sync();
        mFirstCancelled.complete(null);

        assertThat(secondOutcome.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .isEqualTo("finished");
    }

    private static BackendClient.Exchange send(
            BackendClient exchanges, BackendServer backend, String path, OutcomeListener outcome) {
        return send(exchanges, backend, path, path, outcome);
    }

    private static BackendClient.Exchange send(
            BackendClient exchanges,
            BackendServer backend,
            String path,
            String identifier,
            OutcomeListener outcome) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
        request.headers().set("x-request", identifier);
        return exchanges.send(backend, request, identifier, Long.MAX_VALUE, outcome);
    }

    /** A call of the gateway itself took a late copy of another response for its own. */
    @Test
    void aCallWithoutAnIdentifierTookTheResponseToAnotherRequest() throws Exception {
        String response = "HTTP/1.1 %s X\r\nx-request: %s\r\nContent-Length: 0\r\n\r\n";
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        EventLoop loop = mGroup.next();
        try (ScriptedServer server =
                ScriptedServer.start(
                        (request, identifier, connection) -> {
                            String copy = used.add(connection) ? "" : response.formatted(500, "/1");
                            ScriptedServer.write(
                                    connection, copy + response.formatted(200, identifier));
                        })) {
            BackendServer backend = backendServer(server.address());
            BackendClient exchanges =
                    new BackendClient(loop, Samples.HEADER_NAMES, MonotonicClock.start());
            OutcomeListener request = new OutcomeListener();
            OutcomeListener call = new OutcomeListener();
            loop.execute(() -> send(exchanges, backend, "/1", request));
            assertThat(request.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo("finished");
            loop.execute(() -> send(exchanges, backend, "/move", "", call));

            assertThat(call.mResult.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("finished");
        }
    }

    private static BackendServer backendServer(InetSocketAddress address) {
        return backendServer("127.0.0.1:" + address.getPort());
    }

    private static BackendServer backendServer(String address) {
        return new BackendServer(
                ServerRecord.newBuilder()
                        .setServer("server")
                        .setAddress(address)
                        .setState(ServerRecord.State.READY)
                        .build(),
                new StatedAvailability(new SplittableRandom(1)));
    }

    /** Starts a server that responds to the second request once the first has been cancelled. */
    private Channel startServer() {
        ChannelInitializer<Channel> initializer =
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1024))
                                .addLast(new ResponseHandler());
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

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.uri().equals("/second")) {
                mSecondReceived.complete(null);
                mFirstCancelled.thenRun(() -> respond(context, "/second"));
            } else {
                respond(context, request.uri());
            }
        }

        private static void respond(ChannelHandlerContext context, String identifier) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set("content-length", 0);
            response.headers().set("x-request", identifier);
            context.writeAndFlush(response);
        }
    }

    /** Records how a request ended. */
    private static final class OutcomeListener implements ExchangeListener {
        private final CompletableFuture<String> mResult = new CompletableFuture<>();

        @Override
        public void onNotSent(String reason) {
            mResult.complete(reason);
        }

        @Override
        public void onHead(HttpResponse head) {
            if (!head.status().equals(HttpResponseStatus.OK)) {
                mResult.complete("status " + head.status().code());
            }
        }

        @Override
        public void onData(ByteBuf data) {
            mResult.complete("unexpected response body");
        }

        @Override
        public void onComplete(boolean delimited) {
            mResult.complete("finished");
        }

        @Override
        public void onFailure(String reason) {
            mResult.complete(reason);
        }
    }
}
