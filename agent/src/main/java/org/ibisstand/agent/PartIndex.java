package org.ibisstand.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that the engine beside this agent holds, as far as its events tell; on the
 * agent's control thread. A wrong entry costs a transfer or a reading, never a wrong answer.
 */
final class PartIndex {
    /** Parts of a few hundred tokens fill the memory of an engine well before this. */
    private static final int MAXIMUM_PARTS = 20_000;

    private final Map<String, Integer> mTokens =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
                    return size() > MAXIMUM_PARTS;
                }
            };

    private long mEpoch;
    private long mNext;

    /** Returns where the next question for events starts. */
    long next() {
        return mNext;
    }

    /** Takes events; a restart of the engine, or a gap, empties the index. */
    void take(CacheEvents events) {
        if (events.epoch() != mEpoch || events.hasGap()) {
            mTokens.clear();
        }
        mEpoch = events.epoch();
        mNext = events.nextCursor();
        for (CacheEvents.Change change : events.changes()) {
            String key = key(change.salt(), change.part());
            // A part that yields in pieces is told of with what is left of it.
            if (change.added() || change.tokens() > 0) {
                mTokens.put(key, change.tokens());
            } else {
                mTokens.remove(key);
            }
        }
    }

    /** Returns how many of the first parts are held. */
    int held(String salt, List<String> parts) {
        int held = 0;
        while (held < parts.size() && mTokens.containsKey(key(salt, parts.get(held)))) {
            held++;
        }
        return held;
    }

    /** Forgets everything, since nobody can fetch parts from an engine that does not answer. */
    void clear() {
        mTokens.clear();
        mEpoch = 0;
        mNext = 0;
    }

    int size() {
        return mTokens.size();
    }

    private static String key(String salt, String part) {
        return salt + '/' + part;
    }
}
