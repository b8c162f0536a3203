package org.ibisstand.control;

import java.util.HashMap;
import java.util.Map;

/** Gives equal names one instance, since very many claims carry the same few. */
final class Names {
    private static final int MAXIMUM_NAMES = 20_000;

    private final Map<String, String> mNames = new HashMap<>();

    /** Returns an equal name, the same instance each time while it is remembered. */
    String shared(String name) {
        if (mNames.size() >= MAXIMUM_NAMES) {
            mNames.clear();
        }
        return mNames.computeIfAbsent(name, same -> same);
    }
}
