package org.ibisstand.fakes;

import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.PrefixChain;

/** One completion in a fake engine, from its arrival to its last token. */
final class EngineJob {
    private final PrefixChain mChain;
    private final int mPriority;
    private final List<String> mTokens;
    private final Listener mListener;
    private Optional<Future<?>> mTimer = Optional.empty();
    private int mHeldPieces;
    private int mEmitted;
    private boolean mEnded;

    EngineJob(PrefixChain chain, int priority, List<String> tokens, Listener listener) {
        mChain = chain;
        mPriority = priority;
        mTokens = tokens;
        mListener = listener;
    }

    PrefixChain chain() {
        return mChain;
    }

    int priority() {
        return mPriority;
    }

    int heldPieces() {
        return mHeldPieces;
    }

    void setHeldPieces(int heldPieces) {
        mHeldPieces = heldPieces;
    }

    void setTimer(Future<?> timer) {
        mTimer = Optional.of(timer);
    }

    boolean isEnded() {
        return mEnded;
    }

    int emitted() {
        return mEmitted;
    }

    /** Ends the job and its timer. */
    void end() {
        mEnded = true;
        mTimer.ifPresent(timer -> timer.cancel(false));
    }

    /** Emits the next token and returns whether it was the last. */
    boolean emit() {
        mListener.token(mTokens.get(mEmitted), mHeldPieces);
        mEmitted++;
        return mEmitted == mTokens.size();
    }

    void complete() {
        mEnded = true;
        mListener.complete(mHeldPieces);
    }

    /** Receives the tokens of a job. */
    interface Listener {
        void token(String token, int heldPieces);

        void complete(int heldPieces);
    }
}
