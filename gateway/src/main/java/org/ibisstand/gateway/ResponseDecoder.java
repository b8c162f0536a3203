package org.ibisstand.gateway;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.ibisstand.base.StatusLine;

/**
 * Decodes the responses of one connection to a backend server, and tells whether bytes are left
 * that belong to no response.
 *
 * <p>Unlike a client codec it does not pair responses with requests by their order, which a
 * response too many would shift.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean mHeadRequested;

    ResponseDecoder(HttpDecoderConfig limits) {
        super(limits);
    }

    /** Sets whether the request in progress is HEAD, whose response has no body. */
    void setHeadRequested(boolean headRequested) {
        mHeadRequested = headRequested;
    }

    /** Returns how many received bytes are not decoded yet. */
    int undecodedBytes() {
        return actualReadableBytes();
    }

    /** Decoding the status as a number would accept signs, leading zeros and any version. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        StatusLine.check(initialLine[0], initialLine[1]);
        return super.createMessage(initialLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadRequested || super.isContentAlwaysEmpty(message);
    }
}
