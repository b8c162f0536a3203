package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.Set;

/** Forwards an event stream to a caller in complete events, from one server after another. */
final class StreamRelay {
    /**
     * Larger than any event in the platforms' specifications; bounds the memory of endless ones.
     */
    private static final int MAXIMUM_EVENT_BYTES = 1 << 18;

    private final ResponseWriter mResponseWriter;
    private final CallerRequest mRequest;
    private final GatewayContext mGateway;
    private final EventSplitter mSplitter;
    private Optional<HttpResponse> mHead = Optional.empty();
    private boolean mStarted;

    StreamRelay(ResponseWriter responseWriter, CallerRequest request, GatewayContext gateway) {
        mResponseWriter = responseWriter;
        mRequest = request;
        mGateway = gateway;
        mSplitter = new EventSplitter(MAXIMUM_EVENT_BYTES, gateway.headerNames().weights());
    }

    /** Continues with the stream of a server; the caller gets the head of the first one. */
    void switchTo(HttpResponse head) {
        if (!mStarted) {
            mHead = Optional.of(head);
        }
        mSplitter.restart();
    }

    /** Returns whether a part of the response was sent to the caller. */
    boolean isStarted() {
        return mStarted;
    }

    /** Returns the identifier of the last event sent, after which a server can resume. */
    Optional<String> lastEvent() {
        return mSplitter.lastIdentifier();
    }

    /** Returns whether a server that resumes after the last event repeats none. */
    boolean isResumable() {
        return mSplitter.endsAtIdentifier();
    }

    /** Returns the weights version that an event of the current stream changed to, if any. */
    Optional<String> changedWeights() {
        return mSplitter.lastWeights();
    }

    /**
     * Forwards all complete events.
     *
     * @return why the rest of the server's bytes must not be forwarded, if it must not
     */
    Optional<String> forward(ByteBuf data) {
        ByteBuf events = mSplitter.takeCompleteEvents(data);
        if (events.isReadable()) {
            sendHead();
            mResponseWriter.sendData(events);
        }
        return mSplitter.fault();
    }

    /** Returns the bytes of memory allocated for an incomplete event. */
    int bufferedBytes() {
        return mSplitter.bufferedBytes();
    }

    /** Returns whether the caller reads as fast as events are sent. */
    boolean isCallerWritable() {
        return mResponseWriter.isWritable();
    }

    /** Returns whether the current server has sent a complete event. */
    boolean hasEvents() {
        return mSplitter.hasEvents();
    }

    /** Returns whether bytes of an incomplete event are buffered. */
    boolean hasIncompleteEvent() {
        return mSplitter.hasIncompleteEvent();
    }

    void end() {
        sendHead();
        mResponseWriter.finish();
    }

    private void sendHead() {
        if (mStarted) {
            return;
        }
        mStarted = true;
        HttpResponse head = mHead.get();
        mGateway.metrics().recordFirstByte(mGateway.now() - mRequest.arrivedMilliseconds());
        mResponseWriter.sendHead(head.status(), EndToEndHeaders.copyOf(head.headers(), Set.of()));
    }
}
