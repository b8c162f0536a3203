package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;

/**
 * One connection of a caller: reads whole requests, serves them one after the other, and tells a
 * request in progress when the caller has left.
 */
final class CallerHandler extends ChannelInboundHandlerAdapter implements CallerAnswer {
    /** Requests that a caller may send ahead before it is no longer read. */
    private static final int MAXIMUM_AHEAD = 4;

    private final Gateway mGateway;
    private final Deque<CallerRequest> mAhead = new ArrayDeque<>();
    private Channel mChannel;
    private Optional<HttpRequest> mHead = Optional.empty();
    private CompositeByteBuf mBody = Unpooled.compositeBuffer();
    private long mHeadAt;
    private long mActiveAt;
    private Optional<Forwarding> mCurrent = Optional.empty();
    private boolean mClosesAfter;
    private boolean mRefusing;

    CallerHandler(Gateway gateway) {
        mGateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mActiveAt = mGateway.now();
        mGateway.callers().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mGateway.callers().remove(this);
        Optional<Forwarding> current = mCurrent;
        mCurrent = Optional.empty();
        current.ifPresent(Forwarding::callerLeft);
        mAhead.forEach(request -> request.body().release());
        mAhead.clear();
        mBody.release();
        mBody = Unpooled.compositeBuffer(1);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mCurrent.ifPresent(current -> current.setReading(mChannel.isWritable()));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            mActiveAt = mGateway.now();
            if (!mRefusing) {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Closes a connection that sends too slowly or has been idle for too long. */
    void checkTimes(CallerLimits limits) {
        long now = mGateway.now();
        boolean isBusy = mCurrent.isPresent() || !mAhead.isEmpty();
        if (isBusy) {
            return;
        }
        if (mHead.isPresent() && now - mHeadAt > limits.idleTimeoutMilliseconds()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (mHead.isEmpty() && now - mActiveAt > limits.idleTimeoutMilliseconds()) {
            mChannel.close();
        }
    }

    /** Closes the connection now if it carries nothing, or else after the present answer. */
    void closeWhenIdle() {
        mClosesAfter = true;
        if (mCurrent.isEmpty() && mAhead.isEmpty() && mHead.isEmpty()) {
            mChannel.close();
        }
    }

    @Override
    public void whole(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
        HttpUtil.setContentLength(response, body.readableBytes());
        setConnection(headers);
        mChannel.writeAndFlush(response).addListener(written -> answered());
    }

    @Override
    public void begin(HttpResponseStatus status, HttpHeaders headers) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnection(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    @Override
    public void data(ByteBuf data) {
        mChannel.writeAndFlush(new DefaultHttpContent(data));
    }

    @Override
    public void end() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> answered());
    }

    @Override
    public void breakOff() {
        mCurrent = Optional.empty();
        mChannel.close();
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            boolean isTooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            refuse(
                    isTooLong
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (message instanceof HttpRequest head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mHead.isPresent()) {
            readContent(content);
        }
    }

    private void readHead(HttpRequest head) {
        boolean hasTwoLengths =
                head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (hasTwoLengths || head.method().equals(HttpMethod.CONNECT)) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        mHead = Optional.of(head);
        mHeadAt = mGateway.now();
        if (HttpUtil.is100ContinueExpected(head)) {
            mChannel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void readContent(HttpContent content) {
        if (mBody.readableBytes() + content.content().readableBytes()
                > mGateway.maximumBodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            mBody.addComponent(true, content.content().retain());
        }
        if (content instanceof LastHttpContent) {
            HttpRequest head = mHead.get();
            String identifier = head.headers().get(mGateway.names().requestIdentifier(), "");
            mAhead.add(
                    new CallerRequest(
                            identifier, head.method(), head.uri(), head.headers(), mBody, mHeadAt));
            mBody = Unpooled.compositeBuffer();
            mHead = Optional.empty();
            mChannel.config().setAutoRead(mAhead.size() < MAXIMUM_AHEAD);
            serveNext();
        }
    }

    private void serveNext() {
        if (mCurrent.isPresent() || mAhead.isEmpty() || !mChannel.isActive()) {
            return;
        }
        CallerRequest request = mAhead.poll();
        mClosesAfter |= !isKeptAlive(request) || mGateway.isDraining();
        Forwarding forwarding = new Forwarding(mGateway, request, this);
        mCurrent = Optional.of(forwarding);
        forwarding.start();
    }

    private static boolean isKeptAlive(CallerRequest request) {
        return !request.headers()
                .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void answered() {
        mCurrent = Optional.empty();
        mActiveAt = mGateway.now();
        if (mClosesAfter) {
            mChannel.close();
            return;
        }
        mChannel.config().setAutoRead(true);
        serveNext();
    }

    private void setConnection(HttpHeaders headers) {
        mClosesAfter |= mGateway.isDraining();
        if (mClosesAfter) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /** Answers what is no request, and closes: what follows it cannot be told apart. */
    private void refuse(HttpResponseStatus status) {
        mRefusing = true;
        mHead = Optional.empty();
        mBody.release();
        mBody = Unpooled.compositeBuffer();
        if (mCurrent.isPresent()) {
            mChannel.close();
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        mChannel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}
