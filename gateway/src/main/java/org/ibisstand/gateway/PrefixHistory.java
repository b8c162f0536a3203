package org.ibisstand.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which shared prefixes this gateway recently sent to which servers, and which it had saved
 * to which stores. Bounded in size; confined to the gateway's event loop.
 */
final class PrefixHistory {
    /** About as many prefixes as the engines of one service cache at once. */
    private static final int MAXIMUM_ENTRIES = 4_096;

    /** Under load, engines evict what was not used for some tens of seconds. */
    private static final long CACHED_MILLISECONDS = 10_000;

    /** After this time the store may have evicted a prefix, or have been cleared. */
    private static final long SAVED_MILLISECONDS = 20_000;

    private final Map<String, Long> mSentAt = boundedMap();
    private final Map<String, Long> mSavedAt = boundedMap();

    /** Returns whether to save a prefix to a store, since this gateway did not do so recently. */
    boolean needsSave(String salt, String prefixKey, String store, long now) {
        Long savedAt = mSavedAt.get(key(salt, prefixKey, store));
        return savedAt == null || now - savedAt >= SAVED_MILLISECONDS;
    }

    void recordSaved(String salt, String prefixKey, String store, long now) {
        mSavedAt.put(key(salt, prefixKey, store), now);
    }

    void recordSent(String salt, String prefixKey, String server, long now) {
        mSentAt.put(key(salt, prefixKey, server), now);
    }

    boolean isLikelyCached(String salt, String prefixKey, String server, long now) {
        Long sentAt = mSentAt.get(key(salt, prefixKey, server));
        return sentAt != null && now - sentAt < CACHED_MILLISECONDS;
    }

    private static String key(String salt, String prefixKey, String place) {
        return salt + '/' + prefixKey + '@' + place;
    }

    private static Map<String, Long> boundedMap() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAXIMUM_ENTRIES;
            }
        };
    }
}
