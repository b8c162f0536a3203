package org.ibisstand.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The prompt parts in the engine's cache according to its events; for the control thread only. A
 * wrong entry costs a transfer or a prefill but never makes a response wrong.
 */
final class PartIndex {
    /** Parts of a few hundred tokens fill the cache of an engine well below this number. */
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
    private long mNextCursor;

    /** Returns the position to pass to the next request for events. */
    long nextCursor() {
        return mNextCursor;
    }

    /** Applies events; clears the index first after a restart of the engine or a gap. */
    void apply(CacheEvents events) {
        if (events.epoch() != mEpoch || events.hasGap()) {
            mTokens.clear();
        }
        mEpoch = events.epoch();
        mNextCursor = events.nextCursor();
        for (CacheEvents.Change change : events.changes()) {
            String key = key(change.salt(), change.part());
            // A removal with remaining tokens evicts only some pieces; the part stays cached.
            if (change.added() || change.tokens() > 0) {
                mTokens.put(key, change.tokens());
            } else {
                mTokens.remove(key);
            }
        }
    }

    /** Returns how many leading parts are cached. */
    int cachedParts(String salt, List<String> parts) {
        int count = 0;
        while (count < parts.size() && mTokens.containsKey(key(salt, parts.get(count)))) {
            count++;
        }
        return count;
    }

    /** Clears the index, since an engine that does not respond cannot transfer parts. */
    void clear() {
        mTokens.clear();
        mEpoch = 0;
        mNextCursor = 0;
    }

    int size() {
        return mTokens.size();
    }

    private static String key(String salt, String part) {
        return salt + '/' + part;
    }
}
