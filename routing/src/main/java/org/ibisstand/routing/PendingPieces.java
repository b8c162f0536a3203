package org.ibisstand.routing;

import org.ibisstand.base.PrefixChain;

/** Counts the pieces that waiting and running work is about to put into the engine's cache. */
final class PendingPieces {
    private final LongStampMap mCounts = new LongStampMap();

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

    /** Counts the pieces from a position on that are pending without a break. */
    int extend(PrefixChain chain, int from) {
        int held = from;
        while (held < chain.length() && mCounts.get(chain.hash(held)) > 0) {
            held++;
        }
        return held;
    }
}
