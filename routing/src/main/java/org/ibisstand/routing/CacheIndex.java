package org.ibisstand.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.PrefixChain;

/**
 * What one engine's prefix cache holds, followed by the engine's numbered cache events.
 *
 * <p>Lost events leave entries that may be gone; those are believed for a short time only, unless
 * an answer or an event confirms them. A wrong entry costs a recomputation and never a wrong
 * answer.
 */
public final class CacheIndex {
    /** How long entries older than a gap in the events are still believed. */
    public static final Duration DOUBT = Duration.ofSeconds(60);

    /** The most pieces that the index remembers. */
    public static final int MAXIMUM_PIECES = 400_000;

    private final Clock mClock;
    private final LongStampMap mPieces = new LongStampMap();
    private long mNextSequence;
    private boolean mSequenceKnown;
    // Grows with every gap; an entry's stamp is the epoch that last confirmed it.
    private int mEpoch = 1;
    private int mDoubtBelow;
    private Instant mLatestGap = Instant.EPOCH;
    private Instant mDoubtEnds = Instant.EPOCH;
    private long mGaps;
    private long mCorrections;

    private CacheIndex(Clock clock) {
        mClock = clock;
    }

    /**
     * Returns an empty index.
     *
     * @param clock tells when entries were confirmed
     */
    public static CacheIndex create(Clock clock) {
        return new CacheIndex(clock);
    }

    /**
     * Notes that the engine stored pieces.
     *
     * @param sequence the number of the event
     * @param hashes the prefix hashes of the pieces
     */
    public void stored(long sequence, long... hashes) {
        if (accept(sequence)) {
            store(hashes);
        }
    }

    /**
     * Notes that the engine evicted pieces.
     *
     * @param sequence the number of the event
     * @param hashes the prefix hashes of the pieces
     */
    public void removed(long sequence, long... hashes) {
        // A repeated or overtaken removal is applied too: it can only cost a hit.
        accept(sequence);
        for (long hash : hashes) {
            mPieces.remove(hash);
        }
    }

    /**
     * Notes that the engine emptied its cache.
     *
     * @param sequence the number of the event
     */
    public void cleared(long sequence) {
        accept(sequence);
        mPieces.clear();
    }

    /**
     * Takes a snapshot of the engine's cache in place of everything known.
     *
     * @param sequence the number of the last event that the snapshot includes
     * @param hashes all prefix hashes that the engine holds
     */
    public void rebuild(long sequence, long... hashes) {
        booted();
        mNextSequence = sequence + 1;
        mSequenceKnown = true;
        store(hashes);
    }

    /** Empties the index, since a new engine process has an empty cache and new event numbers. */
    public void booted() {
        mPieces.clear();
        mSequenceKnown = false;
        mDoubtBelow = 0;
    }

    /**
     * Notes that the engine computed a prompt, so that it now holds all of its pieces.
     *
     * @param chain the prompt whose first token arrived
     */
    public void computed(PrefixChain chain) {
        store(chain.hashes());
    }

    /**
     * Corrects the index by what an answer reports of the cache.
     *
     * @param cachedPieces the leading pieces that the engine did not have to compute
     * @param believedPieces the leading pieces that the index gave when the work was sent
     */
    public void answered(int cachedPieces, int believedPieces) {
        if (cachedPieces < believedPieces) {
            mCorrections++;
            doubtEarlier();
        }
    }

    /**
     * Counts the leading pieces of a prompt that the engine holds, as far as known.
     *
     * @param chain the prompt
     */
    public int heldPieces(PrefixChain chain) {
        sweep();
        int held = 0;
        while (held < chain.length() && mPieces.get(chain.hash(held)) >= 0) {
            held++;
        }
        return held;
    }

    /** Returns how many pieces are believed to be held. */
    public int size() {
        return mPieces.size();
    }

    /** Returns the bytes that the entries take. */
    public long memoryBytes() {
        return mPieces.memoryBytes();
    }

    /** Returns how many gaps in the event numbers were seen. */
    public long gaps() {
        return mGaps;
    }

    /** Returns how many answers reported fewer cached pieces than the index gave. */
    public long corrections() {
        return mCorrections;
    }

    private boolean accept(long sequence) {
        if (!mSequenceKnown) {
            mSequenceKnown = true;
            mNextSequence = sequence + 1;
            return true;
        }
        if (sequence < mNextSequence) {
            return false;
        }
        if (sequence > mNextSequence) {
            mGaps++;
            doubtEarlier();
        }
        mNextSequence = sequence + 1;
        return true;
    }

    private void store(long[] hashes) {
        sweep();
        for (long hash : hashes) {
            mPieces.put(hash, mEpoch);
        }
        if (mPieces.size() > MAXIMUM_PIECES) {
            mPieces.clear();
        }
    }

    private void doubtEarlier() {
        sweep();
        mEpoch++;
        mLatestGap = mClock.instant();
        if (mDoubtBelow == 0) {
            startDoubt();
        }
    }

    private void startDoubt() {
        mDoubtBelow = mEpoch;
        mDoubtEnds = mLatestGap.plus(DOUBT);
    }

    private void sweep() {
        while (mDoubtBelow != 0 && !mClock.instant().isBefore(mDoubtEnds)) {
            mPieces.removeBelow(mDoubtBelow);
            if (mEpoch > mDoubtBelow) {
                // A gap during the first doubt starts a doubt of its own, which ends in its turn.
                startDoubt();
            } else {
                mDoubtBelow = 0;
            }
        }
    }
}
