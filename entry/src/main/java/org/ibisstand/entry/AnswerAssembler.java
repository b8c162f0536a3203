package org.ibisstand.entry;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.Verdict;
import org.ibisstand.wire.message.Header;
import org.ibisstand.wire.message.ResponseHead;

/**
 * Passes the answer of one attempt on to the caller, small ones as a whole.
 *
 * <p>Until something was passed on, another attempt can still answer in place of a failed one.
 */
final class AnswerAssembler {
    private static final int HELD_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final AnswerSink mSink;
    private final boolean mEventStream;
    private final List<Runnable> mConsumed = new ArrayList<>();
    private final ByteArrayOutputStream mHeld = new ByteArrayOutputStream();
    private Optional<ResponseHead> mHead = Optional.empty();
    private boolean mStarted;

    AnswerAssembler(AnswerSink sink, boolean eventStream) {
        mSink = sink;
        mEventStream = eventStream;
    }

    /** Returns whether a part of the answer was passed on. */
    boolean isStarted() {
        return mStarted;
    }

    void head(ResponseHead head) {
        mHead = Optional.of(head);
    }

    void data(byte[] bytes, Runnable consumed) {
        if (mStarted) {
            mSink.data(bytes, consumed);
            return;
        }
        mHeld.writeBytes(bytes);
        mConsumed.add(consumed);
        boolean passOn = isEventStream() || mHeld.size() > HELD_BYTES;
        if (passOn) {
            start();
        }
    }

    void end() {
        if (mStarted) {
            mSink.end();
            return;
        }
        mSink.whole(status(), headers(), mHeld.toByteArray(), new Verdict.Completed());
    }

    private void start() {
        mStarted = true;
        mSink.head(status(), headers());
        byte[] held = mHeld.toByteArray();
        List<Runnable> consumed = List.copyOf(mConsumed);
        mSink.data(held, () -> consumed.forEach(Runnable::run));
        mHeld.reset();
        mConsumed.clear();
    }

    private boolean isEventStream() {
        return mEventStream && status() == OK;
    }

    private int status() {
        return mHead.map(ResponseHead::getStatus).orElse(0);
    }

    private List<Header> headers() {
        List<Header> headers = new ArrayList<>();
        mHead.ifPresent(head -> headers.addAll(head.getHeadersList()));
        mHead.ifPresent(
                head ->
                        headers.add(
                                Header.newBuilder()
                                        .setName(CallerHeaders.AGENT)
                                        .setValue(head.getAgent())
                                        .build()));
        return headers;
    }
}
