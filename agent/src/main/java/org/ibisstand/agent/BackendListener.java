package org.ibisstand.agent;

import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.Header;

/** Receives the response to one request, in order, on an event loop thread. */
interface BackendListener {
    void onHead(int status, List<Header> headers);

    /** Receives a chunk of the body and returns whether reading may continue. */
    boolean onData(byte[] bytes);

    void onComplete();

    /**
     * Called once instead of {@link #onComplete} if the response is incomplete.
     *
     * @param written whether any byte of the request may have reached the backend server
     */
    void onFailure(boolean written, ErrorCode code, String message);
}
