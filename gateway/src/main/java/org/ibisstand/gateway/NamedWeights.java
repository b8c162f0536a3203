package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The weights that operators named, and since when; for the traffic thread only. */
final class NamedWeights {
    private final Map<String, NavigableMap<Long, Long>> mSince = new HashMap<>();

    void update(Map<String, Long> named, long now) {
        named.forEach(
                (model, version) ->
                        mSince.computeIfAbsent(model, one -> new TreeMap<>())
                                .putIfAbsent(version, now));
    }

    /** Returns the newest named version of a model; zero if none was named. */
    long newest(String model) {
        NavigableMap<Long, Long> versions = mSince.getOrDefault(model, new TreeMap<>());
        return versions.isEmpty() ? 0 : versions.lastKey();
    }

    /**
     * Returns for how long weights have been out of date: since the first newer ones were named,
     * however many followed; zero if they are the newest.
     */
    long outdatedMilliseconds(String model, long version, long now) {
        NavigableMap<Long, Long> versions = mSince.getOrDefault(model, new TreeMap<>());
        Map.Entry<Long, Long> newer = versions.higherEntry(version);
        return newer == null ? 0 : now - newer.getValue();
    }
}
