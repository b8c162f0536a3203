package org.ibisstand.entry;

import java.util.List;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.Header;

/** Takes the answer to one call; all methods belong to the event loop of the caller. */
interface AnswerSink {
    /** Begins an answer whose length is not known. */
    void head(int status, List<Header> headers);

    /**
     * Sends a part of the body.
     *
     * @param bytes the part
     * @param written runs once the part has left the process
     */
    void data(byte[] bytes, Runnable written);

    /** Ends an answer that is whole. */
    void end();

    /** Sends a whole answer at once. */
    void whole(int status, List<Header> headers, byte[] body, Verdict verdict);

    /** Reports a failure; after {@link #head} the caller can see that the answer is cut. */
    void fail(Verdict verdict);
}
