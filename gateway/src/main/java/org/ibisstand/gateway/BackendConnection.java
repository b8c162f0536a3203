package org.ibisstand.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Clock;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.ibisstand.base.LogLine;

/**
 * A connection to a backend server, which carries one request at a time.
 *
 * <p>{@link ResponseOwner} decides which request a response belongs to. A connection that receives
 * anything beyond the response to its request carries no further one.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** The identifier of the gateway's own calls, whose responses need not repeat one. */
    static final String NO_REQUEST_IDENTIFIER = "";

    /** The value of the header of a server that leaves. */
    private static final String IS_LEAVING = "1";

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
    private static final long MILLISECONDS_PER_SECOND = 1_000;

    /** Used if the server states no timeout; shorter than the common default of 5 s. */
    private static final long DEFAULT_KEEP_ALIVE_MILLISECONDS = 4_000;

    /** Subtracted from the stated timeout to cover network delay and late timers. */
    private static final long KEEP_ALIVE_MARGIN_MILLISECONDS = 500;

    /**
     * Limit of received bytes that do not advance the response. Leaves room for several responses
     * to other requests, which arrive within milliseconds.
     */
    private static final int MAXIMUM_OVERHEAD_BYTES = 1 << 20;

    /** Overhead allowed for each body byte; a chunk of one byte takes 6 bytes on the wire. */
    private static final int OVERHEAD_BYTES_PER_BODY_BYTE = 16;

    /** The linger time in seconds with which the system resets a connection. */
    private static final int RESET_ON_CLOSE = 0;

    /**
     * How long after the end of a connection a reset may follow it; a server that leaves a part of
     * the request unread resets within a few milliseconds.
     */
    private static final long RESET_DELAY_MILLISECONDS = 30;

    /** Written to notice a reset; a server that still reads ignores it in place of a request. */
    private static final byte[] EMPTY_LINE = {'\r', '\n'};

    private final BackendServer mServer;
    private final HeaderNames mHeaderNames;
    private final Clock mClock;
    private final long mNumber;
    private final ResponseDecoder mDecoder;
    private SocketChannel mChannel;
    private Optional<ExchangeListener> mListener = Optional.empty();
    private ResponseOwner.Exchange mExchange =
            new ResponseOwner.Exchange(NO_REQUEST_IDENTIFIER, true, false);
    private boolean mRequestHasBody;
    private boolean mRequestWritten;
    private boolean mCheckingReset;
    private boolean mSkippingResponse;
    private boolean mDelimited;
    private boolean mReusable;
    private boolean mReturning;
    private boolean mClosed;
    private int mExchanges;
    private boolean mSkipLogged;
    private long mOverheadBytes;
    private long mUsableUntil;
    private long mIdleSince;

    /**
     * Creates a connection that is not open yet.
     *
     * @param server the backend server at its other end
     * @param headerNames the names of the HTTP headers
     * @param clock the time source
     * @param number the number of the connection in the log
     * @param decoder decodes the responses
     */
    BackendConnection(
            BackendServer server,
            HeaderNames headerNames,
            Clock clock,
            long number,
            ResponseDecoder decoder) {
        mServer = server;
        mHeaderNames = headerNames;
        mClock = clock;
        mNumber = number;
        mDecoder = decoder;
    }

    /**
     * Returns whether another request may be sent: the connection is open, the server is not about
     * to close it, and it has not been idle for longer than the given time.
     */
    boolean isUsable(long maximumIdleMilliseconds) {
        long now = mClock.millis();
        return mChannel.isActive()
                && now < mUsableUntil
                && now - mIdleSince <= maximumIdleMilliseconds;
    }

    /** Sends a request and returns what to log about the connection that carries it. */
    ConnectionUse send(FullHttpRequest request, String identifier, ExchangeListener listener) {
        mListener = Optional.of(listener);
        boolean isHead = request.method().equals(HttpMethod.HEAD);
        mExchange =
                new ResponseOwner.Exchange(
                        identifier, mExchanges == 0, isHead || mExchange.isHeadPossible());
        mDecoder.setHeadRequested(isHead);
        mRequestHasBody = request.content().isReadable();
        mRequestWritten = false;
        mReusable = !identifier.equals(NO_REQUEST_IDENTIFIER);
        mSkipLogged = false;
        mOverheadBytes = 0;
        mUsableUntil = mClock.millis() + DEFAULT_KEEP_ALIVE_MILLISECONDS;
        mChannel.writeAndFlush(request)
                .addListener(written -> mRequestWritten = written.isSuccess());
        return new ConnectionUse(mNumber, mExchanges++);
    }

    /** Returns whether the request in progress is the one of this listener. */
    boolean isInUseBy(ExchangeListener listener) {
        return mListener.filter(current -> current == listener).isPresent();
    }

    /** Pauses or resumes reading, as backpressure from a caller that reads slowly. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /**
     * Closes the connection and drops the request in progress without notifying its listener. The
     * connection is reset if there is one: a server that reads late, such as one on a frozen VM,
     * would take an orderly close for the end of the request and not of the interest in it.
     */
    void close() {
        if (mListener.isPresent() && mChannel.isActive()) {
            mChannel.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
        }
        mListener = Optional.empty();
        mClosed = true;
        mChannel.close();
    }

    /**
     * Counts bytes before they are decoded, since the decoder reports only whole lines and chunks.
     *
     * @return whether to decode the bytes; false if the connection is closed
     */
    boolean acceptBytes(int bytes) {
        if (mClosed) {
            return false;
        }
        if (mListener.isEmpty()) {
            logClosed("bytes after the response", bytes);
            close();
            return false;
        }
        mOverheadBytes += bytes;
        if (mOverheadBytes > MAXIMUM_OVERHEAD_BYTES) {
            fail("received too many bytes that do not belong to the response");
            return false;
        }
        return true;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = (SocketChannel) context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mClosed) {
                return;
            }
            mServer.recordReceived(mClock.millis());
            if (mListener.isEmpty()) {
                close();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (mReturning && !mClosed && mServer.acceptsRequests()) {
            mIdleSince = mClock.millis();
            mServer.idleConnections().push(this);
        } else if (mReturning) {
            close();
        }
        mReturning = false;
        context.fireChannelReadComplete();
    }

    /** The decoder has seen the end of the connection before and passed on the end of content. */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !mCheckingReset) {
            onConnectionEnded();
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        onConnectionEnded();
    }

    private void onConnectionEnded() {
        mServer.idleConnections().remove(this);
        fail("the backend server closed the connection before the end of the response");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("malformed HTTP response");
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mListener.isPresent()) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        switch (ResponseOwner.decide(head, mExchange, mHeaderNames)) {
            case ResponseOwner.Interim interim -> mSkippingResponse = true;
            case ResponseOwner.OtherRequest other -> {
                readAvailability(head);
                skip(other, head);
            }
            case ResponseOwner.Unknown unknown -> fail(unknown.reason());
            case ResponseOwner.ThisRequest owned -> {
                mDelimited = ResponseOwner.isDelimited(head);
                readKeepAlive(head);
                readAvailability(head);
                mOverheadBytes = 0;
                mListener.get().onHead(head);
            }
        }
    }

    /** Reads what the server says of itself; it is as true in a response to another request. */
    private void readAvailability(HttpResponse head) {
        if (head.headers().contains(mHeaderNames.leaving(), IS_LEAVING, false)) {
            mServer.recordLeaving(mClock.millis());
        }
        switch (RequestedPause.of(head)) {
            case RequestedPause.Pause pause ->
                    mServer.recordPause(pause.milliseconds(), mClock.millis());
            case RequestedPause.Unreadable unreadable -> {
                logUnreadablePause(unreadable.text());
                mServer.recordNoPause(mClock.millis());
            }
            case RequestedPause.None none -> mServer.recordNoPause(mClock.millis());
        }
    }

    private void logUnreadablePause(String text) {
        LogLine.info("pause_unreadable")
                .request(mExchange.requestIdentifier())
                .with("server", mServer.name())
                .with("text", text)
                .write();
    }

    private void skip(ResponseOwner.OtherRequest other, HttpResponse head) {
        logSkipped(other.identifier(), head.status().code());
        mSkippingResponse = true;
        mReusable = false;
    }

    private void readKeepAlive(HttpResponse head) {
        mReusable &= HttpUtil.isKeepAlive(head) && mDelimited;
        String keepAlive = head.headers().get("keep-alive", "");
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
        if (timeout.find() && timeout.group(1).length() < Integer.SIZE / 4) {
            long timeoutMilliseconds = Long.parseLong(timeout.group(1)) * MILLISECONDS_PER_SECOND;
            mUsableUntil = mClock.millis() + timeoutMilliseconds - KEEP_ALIVE_MARGIN_MILLISECONDS;
        }
    }

    private void readContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (mSkippingResponse) {
            mSkippingResponse = !isLast;
            return;
        }
        long credit = (long) OVERHEAD_BYTES_PER_BODY_BYTE * content.content().readableBytes();
        mOverheadBytes = Math.max(0, mOverheadBytes - credit);
        ExchangeListener listener = mListener.get();
        if (content.content().isReadable()) {
            listener.onData(content.content());
        }
        if (isLast && mListener.isPresent()) {
            if (isEndedByClose()) {
                endByClose(listener);
            } else {
                complete(listener);
            }
        }
    }

    private void complete(ExchangeListener listener) {
        endExchange();
        listener.onComplete(mDelimited);
    }

    /** Returns whether nothing but the end of the connection marked the end of the response. */
    private boolean isEndedByClose() {
        return !mDelimited && mChannel.isInputShutdown();
    }

    private void endByClose(ExchangeListener listener) {
        if (!mRequestWritten) {
            fail("the backend server closed the connection before it received the request");
        } else if (mRequestHasBody) {
            mCheckingReset = true;
            mChannel.eventLoop()
                    .schedule(
                            () -> checkReset(listener),
                            RESET_DELAY_MILLISECONDS,
                            TimeUnit.MILLISECONDS);
        } else {
            complete(listener);
        }
    }

    /**
     * Checks by a write whether the server reset the connection after it closed it, as the system
     * does if the server left a part of the request unread. A read does not report such a reset.
     */
    private void checkReset(ExchangeListener listener) {
        if (isInUseBy(listener)) {
            // Past the encoder, which has no message to add the bytes to.
            mChannel.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                    .addListener(written -> onResetChecked(listener, written.isSuccess()));
        }
    }

    private void onResetChecked(ExchangeListener listener, boolean isWritten) {
        if (!isInUseBy(listener)) {
            return;
        }
        if (isWritten) {
            complete(listener);
        } else {
            fail("the backend server reset the connection before it read the request");
        }
    }

    /**
     * Ends the exchange. The connection returns to the pool once all bytes that arrived with the
     * response are read, or is closed if it cannot be reused. It cannot while its request is still
     * being written, or if bytes follow the response.
     */
    private void endExchange() {
        mListener = Optional.empty();
        int undecodedBytes = mDecoder.undecodedBytes();
        if (undecodedBytes > 0) {
            logClosed("bytes after the response", undecodedBytes);
            mReusable = false;
        }
        if (mReusable && mRequestWritten && mChannel.isActive() && mServer.acceptsRequests()) {
            mReturning = true;
            mChannel.config().setAutoRead(true);
        } else if (mRequestWritten) {
            close();
        } else {
            mClosed = true;
            mChannel.eventLoop().execute(mChannel::close);
        }
    }

    /** Logs the first response of an exchange that answers another request. */
    private void logSkipped(String identifier, int status) {
        if (!mSkipLogged) {
            mSkipLogged = true;
            use().addTo(
                            LogLine.info("response_skipped")
                                    .request(mExchange.requestIdentifier())
                                    .with("server", mServer.name())
                                    .with("identifier", identifier)
                                    .with("status", status))
                    .write();
        }
    }

    /** Logs why a connection is closed between two exchanges. */
    private void logClosed(String reason, int bytes) {
        use().addTo(
                        LogLine.info("server_connection_closed")
                                .request(mExchange.requestIdentifier())
                                .with("server", mServer.name())
                                .with("reason", reason)
                                .with("bytes", bytes))
                .write();
    }

    /** Returns the use of the connection by the current or last exchange. */
    private ConnectionUse use() {
        return new ConnectionUse(mNumber, mExchanges - 1);
    }

    private void fail(String reason) {
        Optional<ExchangeListener> current = mListener;
        close();
        current.ifPresent(listener -> listener.onFailure(reason));
    }
}
