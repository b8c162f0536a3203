package org.ibisstand.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which shared prefixes this gateway recently sent to which servers, and which it had saved
 * to the store. Bounded in size; confined to the gateway's event loop.
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

    /** Returns whether to save a prefix, since this gateway has not done so recently. */
    boolean needsSave(String salt, String prefixKey, long now) {
        Long savedAt = mSavedAt.get(salt + '/' + prefixKey);
        return savedAt == null || now - savedAt >= SAVED_MILLISECONDS;
    }

    void recordSaved(String salt, String prefixKey, long now) {
        mSavedAt.put(salt + '/' + prefixKey, now);
    }

    void recordSent(String salt, String prefixKey, String server, long now) {
        mSentAt.put(salt + '/' + prefixKey + '@' + server, now);
    }

    boolean isLikelyCached(String salt, String prefixKey, String server, long now) {
        Long sentAt = mSentAt.get(salt + '/' + prefixKey + '@' + server);
        return sentAt != null && now - sentAt < CACHED_MILLISECONDS;
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
