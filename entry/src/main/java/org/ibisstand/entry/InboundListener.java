package org.ibisstand.entry;

import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.End;
import org.ibisstand.wire.message.ResponseHead;

/** Receives the answer to one attempt, in order, on the event loop of the caller. */
interface InboundListener {
    void head(ResponseHead head);

    /**
     * Receives a part of the body.
     *
     * @param bytes the part
     * @param consumed runs once the part is of no more use to the stream
     */
    void data(byte[] bytes, Runnable consumed);

    void end(End end);

    /**
     * Called once in place of {@link #end}.
     *
     * @param connectionLost whether the connection failed rather than the attempt
     */
    void failed(Verdict verdict, boolean connectionLost);
}
