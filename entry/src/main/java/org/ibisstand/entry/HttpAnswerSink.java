package org.ibisstand.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.ibisstand.administration.ErrorBody;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.Header;

/** Writes answers as HTTP responses. */
final class HttpAnswerSink implements AnswerSink {
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String JSON = "application/json";
    private static final long MILLISECONDS_PER_SECOND = 1000;

    private final ChannelHandlerContext mChannel;
    private final String mRequest;
    private final long mRevision;
    private final boolean mKeepAlive;
    private final Runnable mAnswered;
    private boolean mEventStream;
    private boolean mStarted;

    HttpAnswerSink(
            ChannelHandlerContext channel,
            String request,
            long revision,
            boolean keepAlive,
            Runnable answered) {
        mChannel = channel;
        mRequest = request;
        mRevision = revision;
        mKeepAlive = keepAlive;
        mAnswered = answered;
    }

    @Override
    public void head(int status, List<Header> headers) {
        mStarted = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        setHeaders(response, headers);
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        mEventStream = type.startsWith(EVENT_STREAM);
        HttpUtil.setTransferEncodingChunked(response, true);
        mChannel.writeAndFlush(response);
    }

    @Override
    public void data(byte[] bytes, Runnable written) {
        mChannel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
                .addListener(done -> written.run());
    }

    @Override
    public void end() {
        finish(mChannel.writeAndFlush(new DefaultLastHttpContent()));
    }

    @Override
    public void whole(int status, List<Header> headers, byte[] body, Verdict verdict) {
        FullHttpResponse response = response(HttpResponseStatus.valueOf(status), body);
        setHeaders(response, headers);
        response.headers().set(CallerHeaders.VERDICT, verdict.label());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        finish(mChannel.writeAndFlush(response));
    }

    @Override
    public void fail(Verdict verdict) {
        byte[] body = ErrorBody.of(verdict).orElseThrow();
        if (mStarted) {
            cut(body);
            return;
        }
        FullHttpResponse response =
                response(HttpResponseStatus.valueOf(codeOf(verdict).httpStatus()), body);
        setHeaders(response, List.of());
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, JSON);
        response.headers().set(CallerHeaders.VERDICT, verdict.label());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        retryAfter(verdict)
                .ifPresent(pause -> response.headers().set(HttpHeaderNames.RETRY_AFTER, pause));
        finish(mChannel.writeAndFlush(response));
    }

    /** Ends a started answer without its end mark, so that the caller sees that it is cut. */
    private void cut(byte[] error) {
        ByteBuf event = Unpooled.buffer();
        if (mEventStream) {
            event.writeCharSequence("event: error\ndata: ", StandardCharsets.UTF_8);
            event.writeBytes(error);
            event.writeCharSequence("\n\n", StandardCharsets.UTF_8);
        }
        mChannel.writeAndFlush(new DefaultHttpContent(event))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void finish(ChannelFuture written) {
        if (!mKeepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
        mAnswered.run();
    }

    private void setHeaders(HttpResponse response, List<Header> headers) {
        headers.forEach(header -> response.headers().add(header.getName(), header.getValue()));
        response.headers().set(CallerHeaders.REQUEST, mRequest);
        response.headers().set(CallerHeaders.REVISION, mRevision);
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
    }

    private static Optional<Long> retryAfter(Verdict verdict) {
        if (verdict instanceof Verdict.NotRun notRun) {
            return notRun.retryAfter().map(HttpAnswerSink::wholeSeconds);
        }
        return Optional.empty();
    }

    private static long wholeSeconds(Duration duration) {
        long milliseconds = duration.toMillis() + MILLISECONDS_PER_SECOND - 1;
        return Math.max(1, milliseconds / MILLISECONDS_PER_SECOND);
    }

    private static ErrorCode codeOf(Verdict verdict) {
        return switch (verdict) {
            case Verdict.NotRun notRun -> notRun.code();
            case Verdict.MayHaveRun mayHaveRun -> mayHaveRun.code();
            case Verdict.Completed completed -> ErrorCode.INTERNAL;
        };
    }
}
