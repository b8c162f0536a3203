package org.ibisstand.routing;

import org.ibisstand.base.PrefixChain;

/** Counts, for each piece, the waiting and running work that will add it to the engine's cache. */
final class PendingPieces {
    private final LongIntMap mCounts = new LongIntMap();

    void add(PrefixChain chain) {
        for (int piece = 0; piece < chain.length(); piece++) {
            long hash = chain.hash(piece);
            mCounts.put(hash, Math.max(0, mCounts.get(hash)) + 1);
        }
    }

    void remove(PrefixChain chain) {
        for (int piece = 0; piece < chain.length(); piece++) {
            long hash = chain.hash(piece);
            int count = mCounts.get(hash);
            if (count <= 1) {
                mCounts.remove(hash);
            } else {
                mCounts.put(hash, count - 1);
            }
        }
    }

    /**
     * Extends a cached prefix by the pieces that are pending directly after it.
     *
     * @param cachedPieces the length of the cached prefix in pieces
     * @return the length of the extended prefix in pieces
     */
    int extendPrefix(PrefixChain chain, int cachedPieces) {
        int length = cachedPieces;
        while (length < chain.length() && mCounts.get(chain.hash(length)) > 0) {
            length++;
        }
        return length;
    }
}
