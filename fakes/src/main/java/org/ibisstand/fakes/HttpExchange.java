package org.ibisstand.fakes;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** One request and the answer to it; used on the server's thread only. */
final class HttpExchange {
    static final String JSON = "application/json";

    private final Channel mChannel;
    private final String mMethod;
    private final QueryStringDecoder mTarget;
    private final HttpHeaders mHeaders;
    private final byte[] mBody;
    private final boolean mKeepAlive;
    private final Map<String, String> mResponseHeaders = new LinkedHashMap<>();
    private Runnable mOnClosed = () -> {};
    private boolean mEnded;

    HttpExchange(
            Channel channel,
            String method,
            QueryStringDecoder target,
            HttpHeaders headers,
            byte[] body,
            boolean keepAlive) {
        mChannel = channel;
        mMethod = method;
        mTarget = target;
        mHeaders = headers;
        mBody = body;
        mKeepAlive = keepAlive;
    }

    String method() {
        return mMethod;
    }

    String path() {
        return mTarget.path();
    }

    Optional<String> parameter(String key) {
        return mTarget.parameters().getOrDefault(key, List.of()).stream().findFirst();
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(mHeaders.get(name));
    }

    byte[] body() {
        return mBody;
    }

    /** Adds a header to the answer. */
    void addHeader(String name, String value) {
        mResponseHeaders.put(name, value);
    }

    /** Sets what to do when the caller closes its connection before the answer ended. */
    void onClosed(Runnable action) {
        mOnClosed = action;
    }

    void closed() {
        if (!mEnded) {
            mEnded = true;
            mOnClosed.run();
        }
    }

    /** Closes the connection without an answer. */
    void abort() {
        mChannel.close();
    }

    void respondText(int status, String contentType, String text) {
        if (mEnded) {
            return;
        }
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        addHeaders(response, contentType);
        finish(mChannel.writeAndFlush(response));
    }

    /** Starts an answer of chunks. */
    void startStream(String contentType) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers()
                .set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
                .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        addHeaders(response, contentType);
        mChannel.writeAndFlush(response);
    }

    /** Sends one chunk. */
    void write(String text) {
        if (!mEnded) {
            byte[] data = text.getBytes(StandardCharsets.UTF_8);
            mChannel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
        }
    }

    /** Ends an answer of chunks. */
    void endStream() {
        if (!mEnded) {
            finish(mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        }
    }

    private void addHeaders(HttpResponse response, String contentType) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        mResponseHeaders.forEach((name, value) -> response.headers().set(name, value));
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void finish(ChannelFuture written) {
        mEnded = true;
        if (!mKeepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }
}
