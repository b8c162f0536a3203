package org.ibisstand.administration;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;

/** Answers the one request of a connection. */
final class AdministrationChannelHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final AdministrationRoutes mRoutes;
    private final OperatorToken mToken;
    private boolean mAnswering;

    AdministrationChannelHandler(AdministrationRoutes routes, OperatorToken token) {
        mRoutes = routes;
        mToken = token;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mAnswering) {
            return;
        }
        mAnswering = true;
        answer(request).whenComplete((answer, fault) -> reply(context, answer, fault));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    private CompletableFuture<AdministrationResponse> answer(FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return CompletableFuture.completedFuture(malformed(request.decoderResult().cause()));
        }
        try {
            return answerWellFormed(request);
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private CompletableFuture<AdministrationResponse> answerWellFormed(FullHttpRequest request) {
        QueryStringDecoder target = new QueryStringDecoder(request.uri());
        String method = request.method().name();
        Optional<AdministrationResponse> open = mRoutes.answerOpenly(method, target.path());
        if (open.isPresent()) {
            return CompletableFuture.completedFuture(open.get());
        }
        if (!mToken.matches(request.headers().get(HttpHeaderNames.AUTHORIZATION))) {
            return CompletableFuture.completedFuture(
                    AdministrationResponse.error(
                            ErrorCode.TOKEN_INVALID, "the operators' token is needed"));
        }
        AdministrationHandler handler = mRoutes.find(method, target.path());
        byte[] body = ByteBufUtil.getBytes(request.content());
        return handler.handle(
                new AdministrationRequest(method, target.path(), target.parameters(), body));
    }

    private static AdministrationResponse malformed(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException) {
            return AdministrationResponse.error(
                    ErrorCode.HEADER_TOO_LARGE, "the header is too large");
        }
        return AdministrationResponse.error(ErrorCode.REQUEST_MALFORMED, "the request is not HTTP");
    }

    private static void reply(
            ChannelHandlerContext context, AdministrationResponse answer, Throwable fault) {
        AdministrationResponse response = fault == null ? answer : describe(fault);
        context.writeAndFlush(HttpResponses.of(response)).addListener(ChannelFutureListener.CLOSE);
    }

    private static AdministrationResponse describe(Throwable fault) {
        Throwable cause = fault instanceof CompletionException ? fault.getCause() : fault;
        if (cause instanceof IbisstandException coded) {
            return AdministrationResponse.error(coded.code(), coded.getMessage());
        }
        LogLine.error("administration_failed").code(ErrorCode.INTERNAL).cause(cause).write();
        return AdministrationResponse.error(ErrorCode.INTERNAL, "see the log of the process");
    }
}
