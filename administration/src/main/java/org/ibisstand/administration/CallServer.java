package org.ibisstand.administration;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.settings.Address;

/**
 * An HTTP/1.1 server for calls of other programs: connections stay open, answers carry a status, a
 * body or another place to ask, and whoever embeds it decides what may be asked.
 */
public final class CallServer {
    /** Configurations with ten thousand routes; parsed, one takes several times its size. */
    private static final int MAXIMUM_BODY_BYTES = 4 << 20;

    /** The bodies of all calls that are not answered yet; as many as eight large ones. */
    private static final int MAXIMUM_BYTES_OF_BODIES = 8 << 20;

    private CallServer() {}

    /** Answers one call. */
    @FunctionalInterface
    public interface Handler {
        /**
         * Starts to answer; runs on a traffic thread and must not block it.
         *
         * @param method the HTTP method
         * @param uri the path and query as they were sent
         * @param body the whole body; empty if there is none
         */
        CompletableFuture<Answer> handle(String method, String uri, byte[] body);
    }

    /**
     * What is answered.
     *
     * @param status the HTTP status
     * @param body the body, or empty
     * @param isJson whether the body is JSON rather than text
     * @param location where to go instead, with a redirection
     */
    public record Answer(int status, byte[] body, boolean isJson, Optional<String> location) {
        /** Returns an answer without a body. */
        public static Answer of(int status) {
            return new Answer(status, new byte[0], false, Optional.empty());
        }

        /** Returns an answer of status 200 with JSON in UTF-8. */
        public static Answer json(byte[] body) {
            return new Answer(HttpResponseStatus.OK.code(), body, true, Optional.empty());
        }

        /** Returns an answer of status 200 with text. */
        public static Answer text(String text) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            return new Answer(HttpResponseStatus.OK.code(), body, false, Optional.empty());
        }

        /** Returns an answer that sends the caller to a URI. */
        public static Answer redirect(String location) {
            int status = HttpResponseStatus.TEMPORARY_REDIRECT.code();
            return new Answer(status, new byte[0], false, Optional.of(location));
        }
    }

    /**
     * Listens for calls.
     *
     * @param group the event loops that serve; the server does not end them
     * @param address where to listen; port zero takes any free one
     * @param handler answers the calls
     * @return the listening channel, see {@link ServerPort#of}
     * @throws IbisstandException with PORT_IN_USE if the address cannot be bound
     */
    public static Channel start(EventLoopGroup group, Address address, Handler handler) {
        BodyBudget bodies = new BodyBudget(MAXIMUM_BYTES_OF_BODIES);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new BodyBudgetHandler(bodies))
                                                .addLast(new BoundedAggregator(MAXIMUM_BODY_BYTES))
                                                .addLast(new Calls(handler));
                                    }
                                });
        return ServerPort.bind(bootstrap, address.host(), address.port());
    }

    /** Serves the calls of one connection. */
    private static final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler mHandler;

        Calls(Handler handler) {
            mHandler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean staysOpen = HttpUtil.isKeepAlive(request);
            String call = request.method() + " " + request.uri();
            if (request.decoderResult().isFailure()) {
                answer(context, Answer.of(HttpResponseStatus.BAD_REQUEST.code()), false);
                return;
            }
            mHandler.handle(
                            request.method().name(),
                            request.uri(),
                            ByteBufUtil.getBytes(request.content()))
                    .whenComplete(
                            (answer, failure) -> {
                                if (failure != null) {
                                    LogLine.error("call_failed")
                                            .with("call", call)
                                            .cause(failure)
                                            .write();
                                }
                                int failed = HttpResponseStatus.INTERNAL_SERVER_ERROR.code();
                                Answer sent = failure == null ? answer : Answer.of(failed);
                                context.executor().execute(() -> answer(context, sent, staysOpen));
                            });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        private static void answer(
                ChannelHandlerContext context, Answer answer, boolean staysOpen) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(answer.status()),
                            Unpooled.wrappedBuffer(answer.body()));
            HttpUtil.setContentLength(response, answer.body().length);
            if (answer.body().length > 0) {
                response.headers()
                        .set(
                                HttpHeaderNames.CONTENT_TYPE,
                                answer.isJson()
                                        ? HttpHeaderValues.APPLICATION_JSON
                                        : HttpHeaderValues.TEXT_PLAIN);
            }
            answer.location().ifPresent(at -> response.headers().set(HttpHeaderNames.LOCATION, at));
            ChannelFuture written = context.writeAndFlush(response);
            if (!staysOpen) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }
    }
}
