package org.ibisstand.measure;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ibisstand.base.PrefixChain;

/** A bounded prefix cache that evicts the piece that was used least recently. */
final class PieceCache {
    private final int mCapacity;
    private final Map<Long, Boolean> mPieces = new LinkedHashMap<>(256, 0.75f, true);

    PieceCache(int capacity) {
        mCapacity = capacity;
    }

    /** Counts the leading pieces that are held, without touching them. */
    int held(PrefixChain chain) {
        int held = 0;
        while (held < chain.length() && mPieces.containsKey(chain.hash(held))) {
            held++;
        }
        return held;
    }

    /** Touches leading pieces so that the deepest is evicted first. */
    void touch(PrefixChain chain, int pieces) {
        for (int piece = pieces - 1; piece >= 0; piece--) {
            mPieces.get(chain.hash(piece));
        }
    }

    /** Stores a piece and returns what was evicted for it. */
    List<Long> store(long hash) {
        mPieces.put(hash, Boolean.TRUE);
        List<Long> evicted = new ArrayList<>(1);
        Iterator<Long> oldest = mPieces.keySet().iterator();
        while (mPieces.size() - evicted.size() > mCapacity) {
            evicted.add(oldest.next());
        }
        evicted.forEach(mPieces::remove);
        return evicted;
    }

    void clear() {
        mPieces.clear();
    }
}
