package org.ibisstand.control;

import java.util.HashMap;
import java.util.Map;

/** Interns names to save memory, since very many claims carry the same few names. */
final class NameInterner {
    private static final int MAXIMUM_NAMES = 20_000;

    private final Map<String, String> mInstances = new HashMap<>();

    /** Returns an equal name; the same instance as before unless the table was cleared since. */
    String intern(String name) {
        if (mInstances.size() >= MAXIMUM_NAMES) {
            mInstances.clear();
        }
        return mInstances.computeIfAbsent(name, instance -> instance);
    }
}
