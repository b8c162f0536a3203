package org.ibisstand.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/** Where this entry sent shared parts of prompts of late; bounded, for the traffic thread only. */
final class RecentParts {
    /** About the parts that the engines of one service hold at once. */
    private static final int MAXIMUM_PARTS = 4_096;

    /** Engines drop what is not used for some tens of seconds under load. */
    private static final long KEPT_MILLISECONDS = 10_000;

    /** The store may have dropped a part, or have been emptied, after this time. */
    private static final long SAVED_MILLISECONDS = 20_000;

    private final Map<String, Long> mSentAt = bounded();
    private final Map<String, Long> mSavedAt = bounded();

    /** Returns whether the store should get a part that this entry has not saved of late. */
    boolean isUnsaved(String salt, String part, long now) {
        Long at = mSavedAt.get(salt + '/' + part);
        return at == null || now - at >= SAVED_MILLISECONDS;
    }

    void saved(String salt, String part, long now) {
        mSavedAt.put(salt + '/' + part, now);
    }

    void sent(String salt, String part, String server, long now) {
        mSentAt.put(salt + '/' + part + '@' + server, now);
    }

    boolean holds(String salt, String part, String server, long now) {
        Long at = mSentAt.get(salt + '/' + part + '@' + server);
        return at != null && now - at < KEPT_MILLISECONDS;
    }

    private static Map<String, Long> bounded() {
        return new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAXIMUM_PARTS;
            }
        };
    }
}
