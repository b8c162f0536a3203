package org.ibisstand.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import java.util.Set;

/** Passes a stream of events on to a caller, whole events only, whichever server makes them. */
final class StreamRelay {
    /** Larger than any event of a sheet; an endless one must not fill the memory. */
    private static final int MAXIMUM_EVENT_BYTES = 1 << 18;

    private final CallerAnswer mCaller;
    private final CallerRequest mRequest;
    private final Gateway mGateway;
    private final EventSplitter mSplitter;
    private Optional<HttpResponse> mHead = Optional.empty();
    private boolean mBegun;

    StreamRelay(CallerAnswer caller, CallerRequest request, Gateway gateway) {
        mCaller = caller;
        mRequest = request;
        mGateway = gateway;
        mSplitter = new EventSplitter(MAXIMUM_EVENT_BYTES, gateway.names().weights());
    }

    /** Takes the head of the server that makes the stream from now on. */
    void serves(HttpResponse head) {
        if (!mBegun) {
            mHead = Optional.of(head);
        }
        mSplitter.startsOver();
    }

    /** Returns whether the caller has got a part of the answer. */
    boolean isBegun() {
        return mBegun;
    }

    /** Returns the last event that the caller has, for a server that goes on with the stream. */
    Optional<String> lastEvent() {
        return mSplitter.lastIdentifier();
    }

    /** Returns the weights that an event of the stream changed to, if one did. */
    Optional<String> changedWeights() {
        return mSplitter.lastWeights();
    }

    /** Passes on all events that are whole; returns whether the stream may go on. */
    boolean data(ByteBuf data) {
        ByteBuf events = mSplitter.take(data);
        if (events.isReadable()) {
            begin();
            mCaller.data(events);
        }
        return !mSplitter.isOverlong();
    }

    /** Returns whether the caller reads as fast as it gets events, whichever server made them. */
    boolean takesMore() {
        return mCaller.isWritable();
    }

    /** Returns whether the stream ended inside an event. */
    boolean hasPartial() {
        return mSplitter.hasPartial();
    }

    void end() {
        begin();
        mCaller.end();
    }

    private void begin() {
        if (mBegun) {
            return;
        }
        mBegun = true;
        HttpResponse head = mHead.get();
        mGateway.metrics().firstByte(mGateway.now() - mRequest.arrivedMilliseconds());
        mCaller.begin(head.status(), HeaderCopy.of(head.headers(), Set.of()));
    }
}
