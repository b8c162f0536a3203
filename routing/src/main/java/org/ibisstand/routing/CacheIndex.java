package org.ibisstand.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.PrefixChain;

/**
 * What one engine's prefix cache holds, followed by the engine's numbered cache events.
 *
 * <p>Engines evict what was used least recently. So as many of the entries used least recently are
 * dropped as events were lost, and when an answer shows that a piece was gone, so are all entries
 * used before it. Besides, entries older than a gap are believed for a bounded time only. A wrong
 * entry costs a recomputation and never a wrong answer. For one thread only.
 */
public final class CacheIndex {
    /** How long entries older than a gap in the events are still believed without a new use. */
    public static final Duration DOUBT = Duration.ofSeconds(60);

    /** The most pieces that the index remembers. */
    public static final int MAXIMUM_PIECES = 400_000;

    // A stamp lasts long enough that 31 bits count a year from the engine's boot.
    private static final int STAMP_MILLISECONDS = 16;
    // Old entries are dropped in batches, so that losses cost little in a large index.
    private static final int BATCHES = 64;

    /**
     * The leading pieces of a prompt that the index gave at one moment.
     *
     * @param pieces how many they are
     * @param stamps when each was last used
     */
    record Belief(int pieces, int[] stamps) {}

    private final Clock mClock;
    private final LongStampMap mPieces = new LongStampMap();
    private Instant mStart;
    private long mNextSequence;
    private boolean mSequenceKnown;
    private long mMissed;
    private int mDoubtBelow;
    private int mLatestDoubt;
    private Instant mLatestGap = Instant.EPOCH;
    private Instant mDoubtEnds = Instant.EPOCH;
    private long mGaps;
    private long mCorrections;

    private CacheIndex(Clock clock) {
        mClock = clock;
        mStart = clock.instant();
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
    public void replaceWithSnapshot(long sequence, long... hashes) {
        engineRestarted();
        mNextSequence = sequence + 1;
        mSequenceKnown = true;
        store(hashes);
    }

    /** Empties the index, since a new engine process has an empty cache and new event numbers. */
    public void engineRestarted() {
        mPieces.clear();
        mSequenceKnown = false;
        mDoubtBelow = 0;
        mMissed = 0;
        mStart = mClock.instant();
    }

    /**
     * Notes that the engine computed a prompt, so that it now holds all of its pieces.
     *
     * @param chain the prompt whose first token arrived
     */
    public void promptComputed(PrefixChain chain) {
        store(chain.hashes());
    }

    /** Returns what the index gives for a prompt, to be compared with the answer's report. */
    Belief believe(PrefixChain chain) {
        int held = heldPieces(chain);
        int[] stamps = new int[held];
        for (int piece = 0; piece < held; piece++) {
            stamps[piece] = mPieces.get(chain.hash(piece));
        }
        return new Belief(held, stamps);
    }

    /**
     * Corrects the index by what an answer reports of the cache.
     *
     * @param belief what the index gave when the work was sent
     * @param cachedPieces the leading pieces that the engine did not have to compute
     */
    void answered(Belief belief, int cachedPieces) {
        if (cachedPieces < belief.pieces()) {
            mCorrections++;
            mPieces.removeBelow(belief.stamps()[cachedPieces]);
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
            missed(sequence - mNextSequence);
        }
        mNextSequence = sequence + 1;
        return true;
    }

    private void store(long[] hashes) {
        sweep();
        int stamp = stamp();
        for (long hash : hashes) {
            mPieces.put(hash, stamp);
        }
        if (mPieces.size() > MAXIMUM_PIECES) {
            mPieces.removeOldest(MAXIMUM_PIECES / BATCHES);
        }
    }

    private void missed(long events) {
        mMissed += events;
        if (mMissed > mPieces.size() / BATCHES) {
            mPieces.removeOldest((int) Math.min(mMissed, mPieces.size()));
            mMissed = 0;
        }
    }

    private void doubtEarlier() {
        sweep();
        mLatestDoubt = stamp() + 1;
        mLatestGap = mClock.instant();
        if (mDoubtBelow == 0) {
            startDoubt();
        }
    }

    private void startDoubt() {
        mDoubtBelow = mLatestDoubt;
        mDoubtEnds = mLatestGap.plus(DOUBT);
    }

    private void sweep() {
        while (mDoubtBelow != 0 && !mClock.instant().isBefore(mDoubtEnds)) {
            mPieces.removeBelow(mDoubtBelow);
            if (mLatestDoubt > mDoubtBelow) {
                // A gap during the first doubt starts a doubt of its own, which ends in its turn.
                startDoubt();
            } else {
                mDoubtBelow = 0;
            }
        }
    }

    private int stamp() {
        long age = Duration.between(mStart, mClock.instant()).toMillis();
        return 1 + (int) (age / STAMP_MILLISECONDS);
    }
}
