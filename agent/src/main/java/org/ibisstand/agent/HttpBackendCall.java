package org.ibisstand.agent;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.Header;

/** Adapts the callbacks of the HTTP client to a {@link BackendListener}. */
final class HttpBackendCall implements AsyncHandler<Void>, BackendCall {
    // Headers that apply to one connection only or are set again in the response to the caller.
    private static final Set<String> CONNECTION_HEADERS =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "upgrade");

    private final BackendListener mListener;
    private volatile boolean mWritten;
    private volatile boolean mCancelled;
    private volatile Channel mChannel;
    private volatile ListenableFuture<Void> mFuture;
    private int mStatus;
    private boolean mEnded;

    HttpBackendCall(BackendListener listener) {
        mListener = listener;
    }

    void setFuture(ListenableFuture<Void> future) {
        mFuture = future;
        if (mCancelled) {
            abort();
        }
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connection) {
        mChannel = connection;
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        mChannel = connection;
    }

    @Override
    public void onRequestSend(NettyRequest request) {
        mWritten = true;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus status) {
        mStatus = status.getStatusCode();
        return nextState();
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        List<Header> endToEndHeaders =
                headers.entries().stream()
                        .filter(HttpBackendCall::isEndToEnd)
                        .map(HttpBackendCall::toHeader)
                        .toList();
        mListener.onHead(mStatus, endToEndHeaders);
        return nextState();
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (part.length() > 0 && !mListener.onData(part.getBodyPartBytes())) {
            mChannel.config().setAutoRead(false);
        }
        return nextState();
    }

    @Override
    public Void onCompleted() {
        if (!mEnded) {
            mEnded = true;
            if (mCancelled) {
                mListener.onFailure(mWritten, ErrorCode.CALLER_GONE, "the call was cancelled");
            } else {
                mListener.onComplete();
            }
        }
        return null;
    }

    @Override
    public void onThrowable(Throwable failure) {
        if (!mEnded) {
            mEnded = true;
            mListener.onFailure(mWritten, errorCode(failure), String.valueOf(failure.getMessage()));
        }
    }

    @Override
    public void cancel() {
        mCancelled = true;
        abort();
    }

    @Override
    public void resumeReading() {
        Channel channel = mChannel;
        if (channel != null && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
    }

    private void abort() {
        ListenableFuture<Void> future = mFuture;
        Channel channel = mChannel;
        if (future != null) {
            future.abort(new InterruptedException("the call was cancelled"));
        }
        if (channel != null) {
            channel.close();
        }
    }

    private State nextState() {
        return mCancelled ? State.ABORT : State.CONTINUE;
    }

    private ErrorCode errorCode(Throwable failure) {
        if (mCancelled) {
            return ErrorCode.CALLER_GONE;
        }
        if (failure instanceof TimeoutException) {
            return ErrorCode.DEADLINE_EXCEEDED;
        }
        return mWritten ? ErrorCode.BACKEND_FAILED : ErrorCode.BACKEND_UNREACHABLE;
    }

    private static boolean isEndToEnd(Map.Entry<String, String> header) {
        return !CONNECTION_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT));
    }

    private static Header toHeader(Map.Entry<String, String> header) {
        return Header.newBuilder().setName(header.getKey()).setValue(header.getValue()).build();
    }
}
