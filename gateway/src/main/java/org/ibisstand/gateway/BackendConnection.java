package org.ibisstand.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Clock;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One connection to a backend server, which carries one request at a time. An answer is taken for a
 * request only if it repeats the identifier of the request; bytes that belong to no request close
 * the connection.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {
    /** Instead of an identifier, for calls that belong to no request of a caller. */
    static final String NO_REQUEST = "";

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d+)");
    private static final long MILLISECONDS = 1_000;

    /** Backend servers that state no timeout: shorter than common defaults of five seconds. */
    private static final long DEFAULT_KEEP_ALIVE_MILLISECONDS = 4_000;

    /** Kept free before the stated timeout, for the way there and late timers. */
    private static final long KEEP_ALIVE_MARGIN_MILLISECONDS = 500;

    /**
     * Bytes that may come without bringing the answer: several answers of other requests, which
     * arrive within milliseconds.
     */
    private static final int MAXIMUM_FRUITLESS_BYTES = 1 << 20;

    /** Other bytes that one byte of a body makes up for; a chunk of one byte takes six. */
    private static final int FRUITLESS_PER_BODY_BYTE = 16;

    private final BackendServer mServer;
    private final HeaderNames mNames;
    private final Clock mClock;
    private Channel mChannel;
    private Optional<ExchangeListener> mExchange = Optional.empty();
    private String mRequest = "";
    private boolean mWritten;
    private boolean mSkipping;
    private boolean mFramed;
    private boolean mReusable;
    private boolean mClosed;
    private long mFruitlessBytes;
    private long mUsableUntil;
    private long mIdleSince;

    BackendConnection(BackendServer server, HeaderNames names, Clock clock) {
        mServer = server;
        mNames = names;
        mClock = clock;
    }

    /** Returns whether a request may be sent after the connection was idle for a time. */
    boolean isUsable(long longestIdleMilliseconds) {
        long now = mClock.millis();
        return mChannel.isActive()
                && now < mUsableUntil
                && now - mIdleSince <= longestIdleMilliseconds;
    }

    void send(FullHttpRequest request, String identifier, ExchangeListener exchange) {
        mExchange = Optional.of(exchange);
        mRequest = identifier;
        mWritten = false;
        mReusable = true;
        mFruitlessBytes = 0;
        mUsableUntil = mClock.millis() + DEFAULT_KEEP_ALIVE_MILLISECONDS;
        mChannel.writeAndFlush(request).addListener(written -> mWritten = written.isSuccess());
    }

    /** Returns whether the connection carries this request, and not a later one or none. */
    boolean carries(ExchangeListener exchange) {
        return mExchange.filter(one -> one == exchange).isPresent();
    }

    /** Pauses or resumes reading, for a caller that reads slowly. */
    void setReading(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    /** Ends the connection, and with it the request that it carries. */
    void close() {
        mExchange = Optional.empty();
        mClosed = true;
        mChannel.close();
    }

    /**
     * Notes bytes before they are decoded, since the decoder reports only whole lines and pieces.
     *
     * @return whether they are worth decoding
     */
    boolean receives(int bytes) {
        if (mClosed) {
            return false;
        }
        if (mExchange.isEmpty()) {
            close();
            return false;
        }
        mFruitlessBytes += bytes;
        if (mFruitlessBytes > MAXIMUM_FRUITLESS_BYTES) {
            fail("endless bytes that bring no answer");
            return false;
        }
        return true;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (mClosed) {
                return;
            }
            mServer.heard(mClock.millis());
            if (mExchange.isEmpty()) {
                close();
            } else {
                read((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mServer.idle().remove(this);
        fail("the backend server closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(String.valueOf(cause.getMessage()));
    }

    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            fail("the answer cannot be read");
            return;
        }
        if (message instanceof HttpResponse head) {
            readHead(head);
        }
        if (message instanceof HttpContent content && mExchange.isPresent()) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            mSkipping = true;
            return;
        }
        String identifier = head.headers().get(mNames.requestIdentifier());
        boolean isOther =
                identifier != null && !identifier.equals(mRequest) && !mRequest.equals(NO_REQUEST);
        boolean isSuccess = head.status().codeClass() == HttpStatusClass.SUCCESS;
        mFramed = HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
        if (isOther) {
            mSkipping = true;
            mReusable = false;
        } else if (identifier == null && isSuccess && !mRequest.equals(NO_REQUEST)) {
            fail("the answer names no request");
        } else if (head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)) {
            fail("the answer is encoded, which no caller asked for");
        } else {
            noteKeepAlive(head);
            mFruitlessBytes = 0;
            mExchange.get().head(head);
        }
    }

    private void noteKeepAlive(HttpResponse head) {
        mReusable &= HttpUtil.isKeepAlive(head) && mFramed;
        String keepAlive = head.headers().get("keep-alive", "");
        Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
        if (timeout.find() && timeout.group(1).length() < Integer.SIZE / 4) {
            long limit = Long.parseLong(timeout.group(1)) * MILLISECONDS;
            mUsableUntil = mClock.millis() + limit - KEEP_ALIVE_MARGIN_MILLISECONDS;
        }
    }

    private void readContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (mSkipping) {
            mSkipping = !isLast;
            return;
        }
        long madeUpFor = (long) FRUITLESS_PER_BODY_BYTE * content.content().readableBytes();
        mFruitlessBytes = Math.max(0, mFruitlessBytes - madeUpFor);
        ExchangeListener exchange = mExchange.get();
        if (content.content().isReadable()) {
            exchange.data(content.content());
        }
        if (isLast && mExchange.isPresent()) {
            mExchange = Optional.empty();
            release();
            exchange.finished(mFramed);
        }
    }

    /** A request that is still being written keeps the connection from its next use. */
    private void release() {
        if (mReusable && mWritten && mChannel.isActive() && mServer.takesRequests()) {
            mIdleSince = mClock.millis();
            mChannel.config().setAutoRead(true);
            mServer.idle().push(this);
        } else if (mWritten) {
            close();
        } else {
            mClosed = true;
            mChannel.eventLoop().execute(mChannel::close);
        }
    }

    private void fail(String reason) {
        Optional<ExchangeListener> exchange = mExchange;
        close();
        exchange.ifPresent(listener -> listener.broken(reason));
    }
}
