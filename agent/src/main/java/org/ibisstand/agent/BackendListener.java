package org.ibisstand.agent;

import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.Header;

/** Receives what a backend server answers to one call; called on a traffic thread, in order. */
interface BackendListener {
    void head(int status, List<Header> headers);

    /** Receives a part of the body and returns whether reading may go on. */
    boolean data(byte[] bytes);

    void finished();

    /**
     * Called once in place of {@link #finished} when the answer is not whole.
     *
     * @param written whether a byte of the request may have reached the backend server
     */
    void failed(boolean written, ErrorCode code, String message);
}
