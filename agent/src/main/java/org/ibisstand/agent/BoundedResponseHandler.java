package org.ibisstand.agent;

import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Gathers one response; a longer one than is allowed fails, and its connection is closed. */
public final class BoundedResponseHandler extends AsyncCompletionHandler<Response> {
    private final int mMaximumBytes;
    private int mBytes;

    /**
     * Creates a handler for one call.
     *
     * @param maximumBytes the longest body
     */
    public BoundedResponseHandler(int maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        mBytes += part.length();
        if (mBytes > mMaximumBytes) {
            throw new IbisstandException(
                    ErrorCode.BACKEND_FAILED, "the answer is longer than " + mMaximumBytes);
        }
        return super.onBodyPartReceived(part);
    }

    @Override
    public Response onCompleted(Response response) {
        return response;
    }
}
