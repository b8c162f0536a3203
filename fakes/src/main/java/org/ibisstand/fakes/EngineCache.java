package org.ibisstand.fakes;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ibisstand.base.PrefixChain;

/** The prefix cache of a fake engine: bounded, least recently used pieces leave first. */
final class EngineCache {
    private final Map<Long, Boolean> mPieces = new LinkedHashMap<>();
    private final int mCapacity;

    EngineCache(int capacity) {
        mCapacity = capacity;
    }

    /** Returns how many pieces from the beginning of a prompt are held. */
    int held(PrefixChain chain) {
        int held = 0;
        while (held < chain.length() && mPieces.containsKey(chain.hash(held))) {
            held++;
        }
        return held;
    }

    /** Stores all pieces of a prompt, the first as the most recently used. */
    Change store(PrefixChain chain) {
        int length = Math.min(chain.length(), mCapacity);
        List<Long> stored = new ArrayList<>();
        for (int piece = length - 1; piece >= 0; piece--) {
            long hash = chain.hash(piece);
            boolean present = mPieces.remove(hash) != null;
            mPieces.put(hash, true);
            if (!present) {
                stored.add(hash);
            }
        }
        return new Change(stored.reversed(), evict());
    }

    /** Forgets everything. */
    void clear() {
        mPieces.clear();
    }

    /** Returns all held pieces, the least recently used first. */
    List<Long> pieces() {
        return List.copyOf(mPieces.keySet());
    }

    private List<Long> evict() {
        List<Long> removed = new ArrayList<>();
        Iterator<Long> oldest = mPieces.keySet().iterator();
        for (int excess = mPieces.size() - mCapacity; excess > 0; excess--) {
            removed.add(oldest.next());
            oldest.remove();
        }
        return removed;
    }

    /**
     * What storing a prompt changed.
     *
     * @param stored the pieces that were not held before, the first of the prompt first
     * @param removed the pieces that had to leave
     */
    record Change(List<Long> stored, List<Long> removed) {}
}
