package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.LogLine;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;

/**
 * A connection of a caller. Reads complete requests, serves them one after the other, and notifies
 * the request in progress if the caller disconnects.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements ResponseWriter {
    /** Reading pauses at this many requests that wait for the one in progress. */
    private static final int MAXIMUM_PIPELINED_REQUESTS = 4;

    /** A longer body grows its buffer, so that one that is announced and not sent costs little. */
    private static final int MAXIMUM_INITIAL_BODY_BYTES = 64 << 10;

    /**
     * How long the rest of a rejected request is read and dropped. Closing a connection with unread
     * bytes would reset it and take the response away from the caller.
     */
    private static final long REJECTED_REST_MILLISECONDS = 1_000;

    /** A connection that was just opened brings its first request within this time. */
    private static final long FIRST_REQUEST_MILLISECONDS = 1_000;

    private static final String CLOSED_BY_CALLER = "closed_by_caller";

    private final GatewayContext mGateway;
    private final Deque<CallerRequest> mPipelined = new ArrayDeque<>();
    private Channel mChannel;
    private Optional<HttpRequest> mHead = Optional.empty();
    private ByteBuf mBody = Unpooled.EMPTY_BUFFER;
    private long mHeadReceivedAt;
    private long mLastActiveAt;
    private Optional<RequestForwarder> mInProgress = Optional.empty();
    private int mInProgressBytes;
    private boolean mIsLastOfCaller;
    private boolean mCloseWhenServed;
    private boolean mCloseAnnounced;
    private final UnwrittenBytes mUnwritten = new UnwrittenBytes();
    private String mCloseReason = CLOSED_BY_CALLER;
    private boolean mRejected;
    private boolean mIsReset;
    private boolean mUsed;
    private long mOpenedAt;

    CallerConnection(GatewayContext gateway) {
        mGateway = gateway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
        mOpenedAt = mGateway.now();
        mLastActiveAt = mOpenedAt;
        mGateway.callers().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mGateway.callers().remove(this);
        Optional<RequestForwarder> inProgress = mInProgress;
        mInProgress = Optional.empty();
        inProgress.ifPresent(forwarder -> forwarder.callerDisconnected(mCloseReason));
        releaseInProgress();
        mPipelined.forEach(this::drop);
        mPipelined.clear();
        dropBody();
    }

    private void drop(CallerRequest request) {
        new RequestLog(mGateway, request).dropped(mCloseReason);
        mGateway.callerBodies().remove(request.body().capacity());
        request.body().release();
    }

    /** Drops the body that is being received. */
    private void dropBody() {
        mGateway.callerBodies().remove(mBody.capacity());
        mBody.release();
        mBody = Unpooled.EMPTY_BUFFER;
    }

    /** Frees the memory of the request in progress, whose forwarder has released its body. */
    private void releaseInProgress() {
        mGateway.callerBodies().remove(mInProgressBytes);
        mInProgressBytes = 0;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            LogLine.error("caller_connection_failed").cause(cause).write();
        }
        close(String.valueOf(cause.getMessage()));
    }

    /** Closes the connection and remembers why, for the requests that lose their response. */
    private void close(String reason) {
        mCloseReason = reason;
        mChannel.close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        mInProgress.ifPresent(inProgress -> inProgress.setReading(mChannel.isWritable()));
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            mLastActiveAt = mGateway.now();
            mUsed = true;
            if (!mRejected) {
                read((HttpObject) message);
            } else if (message instanceof LastHttpContent && mInProgress.isEmpty()) {
                close("request_rejected");
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** Closes the connection if a request arrives too slowly or it has been idle for too long. */
    void closeIfTimedOut(CallerLimits limits) {
        long now = mGateway.now();
        boolean isBusy = mInProgress.isPresent() || !mPipelined.isEmpty();
        if (isBusy) {
            return;
        }
        if (mHead.isPresent() && now - mHeadReceivedAt > limits.idleTimeoutMilliseconds()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        } else if (mHead.isEmpty() && now - mLastActiveAt > limits.idleTimeoutMilliseconds()) {
            close("idle");
        }
    }

    /**
     * Closes the connection now if it is idle, or else once the requests that were read have their
     * responses. One that was just opened waits for its first request, which a close would reset on
     * its way.
     */
    void closeWhenIdle() {
        mCloseWhenServed = true;
        long untilUnused = mOpenedAt + FIRST_REQUEST_MILLISECONDS - mGateway.now();
        if (requestsInProgress() > 0 || mHead.isPresent()) {
            return;
        }
        if (mUsed || untilUnused <= 0) {
            close("gateway_stops");
        } else {
            mChannel.eventLoop()
                    .schedule(
                            LoggedTask.of("close_when_idle", this::closeWhenIdle),
                            untilUnused,
                            TimeUnit.MILLISECONDS);
        }
    }

    /** Returns how many requests were read whole and are not answered yet. */
    int requestsInProgress() {
        return mPipelined.size() + (mInProgress.isPresent() ? 1 : 0);
    }

    /** Returns whether the head of a request was read, but not all of its body. */
    boolean isRequestArriving() {
        return mHead.isPresent();
    }

    /** Logs the requests that were read whole and whose responses are not sent whole. */
    void logInProgress() {
        mInProgress.ifPresent(RequestForwarder::logInProgress);
        mPipelined.forEach(
                request ->
                        new RequestLog(mGateway, request).inProgress(Optional.empty(), 0, false));
    }

    /** Records how long the request in progress has taken until now. */
    void recordDuration() {
        mInProgress.ifPresent(inProgress -> inProgress.recordDuration(false));
    }

    /**
     * Answers the request in progress, as the gateway stops and cannot wait for its response, or
     * refuses the one that is half read.
     */
    void gatewayStops() {
        mCloseWhenServed = true;
        if (mInProgress.isPresent()) {
            mInProgress.get().gatewayStops();
        } else if (mHead.isPresent()) {
            mGateway.metrics().incrementCounter("stop_refusals");
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    @Override
    public void sendFull(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE);
        HttpUtil.setContentLength(response, body.readableBytes());
        setConnectionHeader(headers);
        UnsentBody unsent = new UnsentBody();
        mGateway.bufferedResponses().update(unsent, body.capacity());
        ChannelFuture write = mChannel.writeAndFlush(response);
        mUnwritten.count(write, body.capacity());
        write.addListener(
                written -> {
                    mGateway.bufferedResponses().update(unsent, 0);
                    responseSent(written.isSuccess());
                });
    }

    /** The body of a response that the caller has not read yet. */
    private final class UnsentBody implements BufferedResponses.Holder {
        @Override
        public void discardBuffered() {
            close("response_memory");
        }
    }

    /** The bytes that wait until the caller reads; a reset shows it that the response is cut. */
    private final class UnwrittenBytes implements BufferedResponses.Holder {
        private int mBytes;

        /** Counts bytes until they are written; most are written at once and not counted. */
        void count(ChannelFuture write, int bytes) {
            if (!write.isDone()) {
                set(mBytes + bytes);
                write.addListener(written -> set(mBytes - bytes));
            }
        }

        private void set(int bytes) {
            mBytes = bytes;
            mGateway.unwrittenResponses().update(this, mIsReset ? 0 : bytes);
        }

        @Override
        public void discardBuffered() {
            mIsReset = true;
            mGateway.unwrittenResponses().update(this, 0);
            mGateway.metrics().incrementCounter("slow_callers_reset");
            LogLine.warning("slow_caller_reset")
                    .with("unwritten", mBytes)
                    .with("limit", mGateway.settings().maximumUnwrittenBytes())
                    .with("requests", requestsInProgress())
                    .write();
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
            close("reads_slowly");
        }
    }

    @Override
    public void sendHead(HttpResponseStatus status, HttpHeaders headers) {
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        setConnectionHeader(headers);
        mChannel.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    @Override
    public void sendData(ByteBuf data) {
        int bytes = data.readableBytes();
        mUnwritten.count(mChannel.writeAndFlush(new DefaultHttpContent(data)), bytes);
    }

    @Override
    public void finish() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> responseSent(written.isSuccess()));
    }

    @Override
    public void abort() {
        mInProgress = Optional.empty();
        releaseInProgress();
        close("response_cut");
    }

    @Override
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            boolean isTooLong = message.decoderResult().cause() instanceof TooLongFrameException;
            reject(
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
        boolean hasConflictingLengths =
                head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && head.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (hasConflictingLengths || head.method().equals(HttpMethod.CONNECT)) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        long length = HttpUtil.getContentLength(head, 0L);
        if (length > mGateway.maximumBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (!mGateway.callerBodies().hasRoomFor(length)) {
            rejectForMemory(length);
            return;
        }
        mHead = Optional.of(head);
        mHeadReceivedAt = mGateway.now();
        growBody((int) Math.min(length, MAXIMUM_INITIAL_BODY_BYTES));
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
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content.content().isReadable()) {
            growBody(mBody.readableBytes() + content.content().readableBytes());
            mBody.writeBytes(content.content());
            if (!mGateway.callerBodies().hasRoomFor(0)) {
                rejectForMemory(mBody.readableBytes());
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            HttpRequest head = mHead.get();
            String identifier = head.headers().get(mGateway.headerNames().requestIdentifier(), "");
            mPipelined.add(
                    new CallerRequest(
                            identifier,
                            head.method(),
                            head.uri(),
                            head.headers(),
                            mBody,
                            mHeadReceivedAt));
            mBody = Unpooled.EMPTY_BUFFER;
            mHead = Optional.empty();
            mChannel.config().setAutoRead(mPipelined.size() < MAXIMUM_PIPELINED_REQUESTS);
            serveNext();
        }
    }

    /**
     * Gives the body room for this many bytes. Copies it to a larger buffer, as a caller may send
     * many small chunks, which would each hold a buffer of their own.
     */
    private void growBody(int bytes) {
        if (bytes <= mBody.capacity()) {
            return;
        }
        int doubled = Math.min(2 * mBody.capacity(), mGateway.maximumBodyBytes());
        ByteBuf larger = Unpooled.buffer(Math.max(bytes, doubled));
        larger.writeBytes(mBody, mBody.readerIndex(), mBody.readableBytes());
        dropBody();
        mBody = larger;
        mGateway.callerBodies().add(mBody.capacity());
    }

    private void rejectForMemory(long bytes) {
        mGateway.metrics().incrementCounter("body_refusals");
        LogLine.info("body_refused").with("bytes", bytes).write();
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    private void serveNext() {
        if (mInProgress.isPresent() || mPipelined.isEmpty() || !mChannel.isActive()) {
            return;
        }
        CallerRequest request = mPipelined.poll();
        mIsLastOfCaller = !keepsAlive(request);
        RequestForwarder forwarder = new RequestForwarder(mGateway, request, this);
        mInProgress = Optional.of(forwarder);
        mInProgressBytes = request.body().capacity();
        forwarder.start();
    }

    private void logRejected(HttpResponseStatus status) {
        LogLine line = LogLine.info("request_rejected");
        mHead.map(head -> head.headers().get(mGateway.headerNames().requestIdentifier(), ""))
                .ifPresent(line::request);
        line.with("status", status.code()).with("behind", requestsInProgress()).write();
    }

    private static boolean keepsAlive(CallerRequest request) {
        return !request.headers()
                .containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
    }

    private void responseSent(boolean isWritten) {
        mInProgress = Optional.empty();
        releaseInProgress();
        mLastActiveAt = mGateway.now();
        if (!isWritten) {
            close("response_not_written");
            return;
        }
        if (mCloseAnnounced || (mCloseWhenServed && mPipelined.isEmpty())) {
            close("response_announced_close");
            return;
        }
        mChannel.config().setAutoRead(true);
        serveNext();
    }

    /**
     * Announces the close of the connection with the last response. Requests that wait behind this
     * one get responses of their own first.
     */
    private void setConnectionHeader(HttpHeaders headers) {
        mCloseWhenServed |= mGateway.isDraining();
        mCloseAnnounced = mIsLastOfCaller || (mCloseWhenServed && mPipelined.isEmpty());
        if (mCloseAnnounced) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    /**
     * Rejects a request and closes, since the start of the next one is unknown or far away. A
     * request before it that is still in progress is answered first.
     */
    private void reject(HttpResponseStatus status) {
        logRejected(status);
        mRejected = true;
        mHead = Optional.empty();
        dropBody();
        if (mInProgress.isPresent()) {
            mCloseWhenServed = true;
            return;
        }
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, mGateway.retryAfter());
        }
        mChannel.writeAndFlush(response);
        mChannel.eventLoop()
                .schedule(
                        () -> close("request_rejected"),
                        REJECTED_REST_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
    }
}
