package org.ibisstand.agent;

import org.asynchttpclient.AsyncCompletionHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.Response;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Buffers one response; fails and closes the connection if its body exceeds a maximum size. */
public final class BoundedResponseHandler extends AsyncCompletionHandler<Response> {
    private final int mMaximumBytes;
    private int mBytes;

    /**
     * Creates a handler for one call.
     *
     * @param maximumBytes the maximum size of the body in bytes
     */
    public BoundedResponseHandler(int maximumBytes) {
        mMaximumBytes = maximumBytes;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
        mBytes += part.length();
        if (mBytes > mMaximumBytes) {
            throw new IbisstandException(
                    ErrorCode.BACKEND_FAILED,
                    "the response body exceeds the maximum size in bytes of " + mMaximumBytes);
        }
        return super.onBodyPartReceived(part);
    }

    @Override
    public Response onCompleted(Response response) {
        return response;
    }
}
