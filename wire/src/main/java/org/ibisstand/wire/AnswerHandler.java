package org.ibisstand.wire;

import org.ibisstand.base.IbisstandException;
import org.ibisstand.wire.message.Frame;

/** Receives the answers to one request that may have several; called on the event loop. */
public interface AnswerHandler {
    /**
     * Handles one answer, in the order sent.
     *
     * @param frame the answer
     */
    void answered(Frame frame);

    /**
     * Called at most once, when the connection went down before the request was closed.
     *
     * @param cause CONNECTION_LOST, or AGENT_UNREACHABLE if nothing was sent
     */
    void lost(IbisstandException cause);
}
