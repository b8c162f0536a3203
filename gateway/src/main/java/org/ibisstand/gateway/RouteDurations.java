package org.ibisstand.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The longest time that requests of each route took of late, from their arrival to the end of their
 * response, or until now. Confined to the gateway's event loop.
 */
final class RouteDurations {
    /** Durations of up to two windows count; long enough for several requests of a rare route. */
    private static final long WINDOW_MILLISECONDS = 30_000;

    private Map<String, Long> mCurrentWindow = new HashMap<>();
    private Map<String, Long> mPreviousWindow = new HashMap<>();
    private long mWindowStart;

    /** Records a request that was served to its end. */
    void record(String route, long durationMilliseconds, long now) {
        advance(now);
        mCurrentWindow.merge(route, durationMilliseconds, Math::max);
    }

    /**
     * Records a request that has taken this long and goes on. It says nothing about a route of
     * which no request ended of late: that one may still take any time.
     */
    void recordUnfinished(String route, long durationMilliseconds, long now) {
        if (longest(route, now).isPresent()) {
            record(route, durationMilliseconds, now);
        }
    }

    /** Returns the longest duration; empty if no request of the route ended of late. */
    OptionalLong longest(String route, long now) {
        advance(now);
        Long current = mCurrentWindow.get(route);
        Long previous = mPreviousWindow.get(route);
        if (current == null && previous == null) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                Math.max(current == null ? 0 : current, previous == null ? 0 : previous));
    }

    private void advance(long now) {
        long elapsed = now - mWindowStart;
        if (elapsed < WINDOW_MILLISECONDS) {
            return;
        }
        mPreviousWindow = elapsed < 2 * WINDOW_MILLISECONDS ? mCurrentWindow : new HashMap<>();
        mCurrentWindow = new HashMap<>();
        mWindowStart = now;
    }
}
