package org.ibisstand.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.ibisstand.administration.ErrorBody;
import org.ibisstand.base.ErrorCode;

/** Gathers whole requests; a body that is too large is answered with a code. */
final class RequestAggregator extends HttpObjectAggregator {
    private final Optional<RequestTimeout> mTimeout;

    RequestAggregator(int maximumBodyBytes, Optional<RequestTimeout> timeout) {
        super(maximumBodyBytes);
        mTimeout = timeout;
    }

    @Override
    protected void decode(ChannelHandlerContext channel, HttpObject message, List<Object> out)
            throws Exception {
        int before = out.size();
        super.decode(channel, message, out);
        if (out.size() > before) {
            mTimeout.ifPresent(RequestTimeout::requestComplete);
        }
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext channel, HttpMessage oversized) {
        byte[] body = ErrorBody.of(ErrorCode.BODY_TOO_LARGE, "the body is too large");
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        response.headers().set(CallerHeaders.VERDICT, "not-run");
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
