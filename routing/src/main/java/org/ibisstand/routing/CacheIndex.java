package org.ibisstand.routing;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.ibisstand.base.PrefixChain;

/**
 * An index of the contents of one engine's prefix cache, kept up to date by the engine's numbered
 * cache events.
 *
 * <p>Engines evict the least recently used pieces first. Therefore each lost event drops one of the
 * least recently used entries, and a response that shows a piece to be missing drops all entries
 * used before that piece. In addition, entries older than a gap in the events are suspect and
 * expire unless they are used again. A wrong entry costs a recomputation, never a wrong response.
 * Not thread-safe.
 */
public final class CacheIndex {
    /** How long an entry older than a gap in the events is kept if it is not used again. */
    public static final Duration SUSPECT_LIFETIME = Duration.ofSeconds(60);

    /** The maximum number of pieces in the index. */
    public static final int MAXIMUM_PIECES = 400_000;

    // The resolution of stamps. Their 31 bits last for a year after the engine's boot.
    private static final int STAMP_MILLISECONDS = 16;
    // The size of the index divided by the size of a batch. Entries are dropped in batches, since
    // each drop scans the whole index.
    private static final int EVICTION_BATCHES = 64;

    /**
     * The leading pieces of a prompt that the index predicts to be cached.
     *
     * @param pieces the number of pieces
     * @param stamps the last use of each piece
     */
    record Prediction(int pieces, int[] stamps) {}

    private final Clock mClock;
    private final LongIntMap mPieces = new LongIntMap();
    private Instant mStampEpoch;
    private long mNextSequence;
    private boolean mIsSequenceKnown;
    private long mLostEvents;
    private int mSuspectBelowStamp;
    private int mLatestGapStamp;
    private Instant mLatestGapTime = Instant.EPOCH;
    private Instant mSuspectExpiry = Instant.EPOCH;
    private long mGaps;
    private long mCorrections;

    private CacheIndex(Clock clock) {
        mClock = clock;
        mStampEpoch = clock.instant();
    }

    /**
     * Returns an empty index.
     *
     * @param clock the clock that times the use of entries
     */
    public static CacheIndex create(Clock clock) {
        return new CacheIndex(clock);
    }

    /**
     * Records that the engine stored pieces.
     *
     * @param sequence the number of the event
     * @param hashes the prefix hashes of the pieces
     */
    public void stored(long sequence, long... hashes) {
        if (advanceSequence(sequence)) {
            store(hashes);
        }
    }

    /**
     * Records that the engine evicted pieces.
     *
     * @param sequence the number of the event
     * @param hashes the prefix hashes of the pieces
     */
    public void removed(long sequence, long... hashes) {
        // Duplicate and reordered removals are applied too: at worst they cost a cache hit.
        advanceSequence(sequence);
        for (long hash : hashes) {
            mPieces.remove(hash);
        }
    }

    /**
     * Records that the engine cleared its cache.
     *
     * @param sequence the number of the event
     */
    public void cleared(long sequence) {
        advanceSequence(sequence);
        mPieces.clear();
    }

    /**
     * Replaces the index by a snapshot of the engine's cache.
     *
     * @param sequence the number of the last event included in the snapshot
     * @param hashes all prefix hashes in the engine's cache
     */
    public void replaceWithSnapshot(long sequence, long... hashes) {
        engineRestarted();
        mNextSequence = sequence + 1;
        mIsSequenceKnown = true;
        store(hashes);
    }

    /**
     * Clears the index after a restart of the engine, whose new process has an empty cache and
     * restarts the event numbers.
     */
    public void engineRestarted() {
        mPieces.clear();
        mIsSequenceKnown = false;
        mSuspectBelowStamp = 0;
        mLostEvents = 0;
        mStampEpoch = mClock.instant();
    }

    /**
     * Records that the engine computed a prompt, and so now caches all of its pieces.
     *
     * @param chain the prefix hashes of the prompt whose first token arrived
     */
    public void promptComputed(PrefixChain chain) {
        store(chain.hashes());
    }

    /**
     * Predicts the cached pieces of a prompt, for {@link #correct} to compare with the response.
     */
    Prediction predict(PrefixChain chain) {
        int cachedPieces = heldPieces(chain);
        int[] stamps = new int[cachedPieces];
        for (int piece = 0; piece < cachedPieces; piece++) {
            stamps[piece] = mPieces.get(chain.hash(piece));
        }
        return new Prediction(cachedPieces, stamps);
    }

    /**
     * Corrects the index by the cache hits that a response reports.
     *
     * @param prediction the prediction when the work was dispatched
     * @param cachedPieces the leading pieces that were cache hits
     */
    void correct(Prediction prediction, int cachedPieces) {
        if (cachedPieces < prediction.pieces()) {
            mCorrections++;
            mPieces.removeBelow(prediction.stamps()[cachedPieces]);
        }
    }

    /**
     * Returns the number of leading pieces of a prompt that are cached according to the index.
     *
     * @param chain the prefix hashes of the prompt
     */
    public int heldPieces(PrefixChain chain) {
        dropExpiredSuspects();
        int cachedPieces = 0;
        while (cachedPieces < chain.length() && mPieces.get(chain.hash(cachedPieces)) >= 0) {
            cachedPieces++;
        }
        return cachedPieces;
    }

    /** Returns the number of pieces in the index. */
    public int size() {
        return mPieces.size();
    }

    /** Returns the memory used by the entries, in bytes. */
    public long memoryBytes() {
        return mPieces.memoryBytes();
    }

    /** Returns the number of gaps found in the event numbers. */
    public long gaps() {
        return mGaps;
    }

    /** Returns the number of responses that reported fewer cached pieces than predicted. */
    public long corrections() {
        return mCorrections;
    }

    private boolean advanceSequence(long sequence) {
        if (!mIsSequenceKnown) {
            mIsSequenceKnown = true;
            mNextSequence = sequence + 1;
            return true;
        }
        if (sequence < mNextSequence) {
            return false;
        }
        if (sequence > mNextSequence) {
            mGaps++;
            suspectEarlierEntries();
            dropForLostEvents(sequence - mNextSequence);
        }
        mNextSequence = sequence + 1;
        return true;
    }

    private void store(long[] hashes) {
        dropExpiredSuspects();
        int stamp = stamp();
        for (long hash : hashes) {
            mPieces.put(hash, stamp);
        }
        if (mPieces.size() > MAXIMUM_PIECES) {
            mPieces.removeLowest(MAXIMUM_PIECES / EVICTION_BATCHES);
        }
    }

    private void dropForLostEvents(long events) {
        mLostEvents += events;
        if (mLostEvents > mPieces.size() / EVICTION_BATCHES) {
            mPieces.removeLowest((int) Math.min(mLostEvents, mPieces.size()));
            mLostEvents = 0;
        }
    }

    private void suspectEarlierEntries() {
        dropExpiredSuspects();
        mLatestGapStamp = stamp() + 1;
        mLatestGapTime = mClock.instant();
        if (mSuspectBelowStamp == 0) {
            startSuspectPeriod();
        }
    }

    private void startSuspectPeriod() {
        mSuspectBelowStamp = mLatestGapStamp;
        mSuspectExpiry = mLatestGapTime.plus(SUSPECT_LIFETIME);
    }

    private void dropExpiredSuspects() {
        while (mSuspectBelowStamp != 0 && !mClock.instant().isBefore(mSuspectExpiry)) {
            mPieces.removeBelow(mSuspectBelowStamp);
            if (mLatestGapStamp > mSuspectBelowStamp) {
                // A later gap during this period made more entries suspect, with a later expiry.
                startSuspectPeriod();
            } else {
                mSuspectBelowStamp = 0;
            }
        }
    }

    private int stamp() {
        long age = Duration.between(mStampEpoch, mClock.instant()).toMillis();
        return 1 + (int) (age / STAMP_MILLISECONDS);
    }
}
