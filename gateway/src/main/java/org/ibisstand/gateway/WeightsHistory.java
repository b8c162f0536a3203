package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Records the weights versions that operators ordered for each model, and when each one was first
 * seen. Confined to the gateway's event loop.
 */
final class WeightsHistory {
    private final Map<String, NavigableMap<Long, Long>> mFirstSeenAt = new HashMap<>();

    void update(Map<String, Long> current, long now) {
        current.forEach(
                (model, version) ->
                        mFirstSeenAt
                                .computeIfAbsent(model, key -> new TreeMap<>())
                                .putIfAbsent(version, now));
    }

    /** Returns the newest ordered version of a model, or zero if there is none. */
    long newest(String model) {
        NavigableMap<Long, Long> versions = mFirstSeenAt.getOrDefault(model, new TreeMap<>());
        return versions.isEmpty() ? 0 : versions.lastKey();
    }

    /**
     * Returns how long a version has been stale: the time since the first newer version was seen,
     * even if others followed; zero if there is no newer one.
     */
    long staleMilliseconds(String model, long version, long now) {
        NavigableMap<Long, Long> versions = mFirstSeenAt.getOrDefault(model, new TreeMap<>());
        Map.Entry<Long, Long> newer = versions.higherEntry(version);
        return newer == null ? 0 : now - newer.getValue();
    }
}
