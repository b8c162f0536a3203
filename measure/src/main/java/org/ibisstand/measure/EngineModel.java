package org.ibisstand.measure;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ibisstand.base.PrefixChain;

/**
 * A small stand-in for a model engine: continuous batching, prefill in chunks by priority and then
 * arrival, a bounded number of sequences, and a bounded prefix cache.
 */
final class EngineModel implements Backend {
    /** The speed of prefill: 10,000 tokens a second of four bytes each. */
    static final double BYTES_PER_MILLISECOND = 40;

    /** The most sequences in a batch. */
    static final int SEQUENCES = 16;

    private static final double CHUNK_BYTES = 2048;
    private static final double TOKEN_MILLISECONDS = 20;
    private static final double BATCH_DRAG = 0.3;

    private static final class Sequence {
        private final long mIdentifier;
        private final PrefixChain mChain;
        private final int mPriority;
        private final long mArrival;
        private final Listener mListener;
        private int mTokensLeft;
        private int mCached = -1;
        private double mDoneBytes;
        private boolean mDecoding;

        Sequence(
                long identifier,
                PrefixChain chain,
                int priority,
                long arrival,
                int tokens,
                Listener listener) {
            mIdentifier = identifier;
            mChain = chain;
            mPriority = priority;
            mArrival = arrival;
            mTokensLeft = tokens;
            mListener = listener;
        }

        boolean started() {
            return mCached >= 0;
        }
    }

    private final Simulation mSimulation;
    private final PieceCache mCache;
    private final CacheEvents mEvents;
    private final Map<Long, Sequence> mSequences = new LinkedHashMap<>();
    private final Set<Long> mEverComputed;
    private double mSlowness = 1;
    private boolean mPrefilling;
    private long mArrivals;
    private long mComputed;
    private long mRecomputed;

    EngineModel(Simulation simulation, int cachePieces, CacheEvents events, Set<Long> ever) {
        mSimulation = simulation;
        mCache = new PieceCache(cachePieces);
        mEvents = events;
        mEverComputed = ever;
    }

    @Override
    public void submit(
            long identifier, PrefixChain chain, int priority, int tokens, Listener listener) {
        Sequence sequence =
                new Sequence(identifier, chain, priority, mArrivals++, tokens, listener);
        mSequences.put(identifier, sequence);
        prefillNext();
    }

    @Override
    public void cancel(long identifier) {
        if (mSequences.remove(identifier) != null) {
            prefillNext();
        }
    }

    @Override
    public void slowDown(double factor) {
        mSlowness = factor;
    }

    @Override
    public double slowness() {
        return mSlowness;
    }

    /** Returns the pieces computed so far. */
    long computedPieces() {
        return mComputed;
    }

    /** Returns how many computed pieces some engine of the run had computed before. */
    long recomputedPieces() {
        return mRecomputed;
    }

    PieceCache cache() {
        return mCache;
    }

    private void prefillNext() {
        if (mPrefilling) {
            return;
        }
        long started = mSequences.values().stream().filter(Sequence::started).count();
        mSequences.values().stream()
                .filter(sequence -> !sequence.mDecoding)
                .filter(sequence -> sequence.started() || started < SEQUENCES)
                .min(
                        Comparator.<Sequence>comparingInt(sequence -> sequence.mPriority)
                                .thenComparingLong(sequence -> sequence.mArrival))
                .ifPresent(this::prefill);
    }

    private void prefill(Sequence sequence) {
        PrefixChain chain = sequence.mChain;
        if (!sequence.started()) {
            sequence.mCached = mCache.held(chain);
            mCache.touch(chain, sequence.mCached);
            sequence.mDoneBytes = (double) sequence.mCached * chain.pieceBytes();
        }
        double bytes = Math.min(CHUNK_BYTES, chain.promptBytes() - sequence.mDoneBytes);
        long decoding = mSequences.values().stream().filter(other -> other.mDecoding).count();
        double drag = 1 + BATCH_DRAG * decoding / SEQUENCES;
        mPrefilling = true;
        double time = Math.max(0, bytes) / BYTES_PER_MILLISECOND * drag * mSlowness;
        mSimulation.after(time, () -> onChunk(sequence, bytes));
    }

    private void onChunk(Sequence sequence, double bytes) {
        mPrefilling = false;
        if (mSequences.containsKey(sequence.mIdentifier)) {
            storePieces(sequence, bytes);
            if (sequence.mDoneBytes >= sequence.mChain.promptBytes()) {
                sequence.mDecoding = true;
                sequence.mListener.onFirstToken();
                scheduleToken(sequence);
            }
        }
        prefillNext();
    }

    private void storePieces(Sequence sequence, double bytes) {
        PrefixChain chain = sequence.mChain;
        int before = (int) (sequence.mDoneBytes / chain.pieceBytes());
        sequence.mDoneBytes += bytes;
        int after = Math.min(chain.length(), (int) (sequence.mDoneBytes / chain.pieceBytes()));
        for (int piece = before; piece < after; piece++) {
            long hash = chain.hash(piece);
            mComputed++;
            mRecomputed += mEverComputed.add(hash) ? 0 : 1;
            List<Long> evicted = mCache.store(hash);
            mEvents.stored(hash);
            if (!evicted.isEmpty()) {
                mEvents.removed(evicted);
            }
        }
    }

    private void scheduleToken(Sequence sequence) {
        mSimulation.after(TOKEN_MILLISECONDS * mSlowness, () -> onToken(sequence));
    }

    private void onToken(Sequence sequence) {
        if (!mSequences.containsKey(sequence.mIdentifier)) {
            return;
        }
        sequence.mTokensLeft--;
        if (sequence.mTokensLeft > 0) {
            sequence.mListener.onToken();
            scheduleToken(sequence);
            return;
        }
        mSequences.remove(sequence.mIdentifier);
        sequence.mListener.onFinished(sequence.mCached);
        prefillNext();
    }
}
