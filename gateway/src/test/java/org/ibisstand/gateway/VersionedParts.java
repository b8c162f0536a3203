package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Cached parts of prompts by salt, and the version of the weights that made each. */
final class VersionedParts {
    private final Map<String, Long> mMadeBy = new HashMap<>();

    Optional<Long> madeBy(String salt, String part) {
        return Optional.ofNullable(mMadeBy.get(key(salt, part)));
    }

    /** Keeps a part; one that is kept already stays as it was first made. */
    void keep(String salt, String part, long version) {
        mMadeBy.putIfAbsent(key(salt, part), version);
    }

    void drop() {
        mMadeBy.clear();
    }

    private static String key(String salt, String part) {
        return salt + '/' + part;
    }
}
