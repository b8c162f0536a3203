package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Cached prompt parts by salt, with the weights version that computed each. */
final class VersionedKvCache {
    private final Map<String, Long> mVersions = new HashMap<>();

    Optional<Long> version(String salt, String part) {
        return Optional.ofNullable(mVersions.get(key(salt, part)));
    }

    /** Adds a part; one that is cached already keeps its version. */
    void putIfAbsent(String salt, String part, long version) {
        mVersions.putIfAbsent(key(salt, part), version);
    }

    void clear() {
        mVersions.clear();
    }

    private static String key(String salt, String part) {
        return salt + '/' + part;
    }
}
