package org.ibisstand.fleet;

import java.time.Duration;

/**
 * How often the state of engines is told; a decision without input or output.
 *
 * <p>It answers the growth of a fleet: every watcher hears of every engine, so the pause grows with
 * the engines and what a watcher receives stays the same, about 7 KB a second.
 */
public final class NoticePace {
    /** The pause for a small fleet: engines take and end requests within tens of milliseconds. */
    private static final Duration SHORTEST = Duration.ofMillis(100);

    /** Ten notices of about seventy bytes each. */
    private static final int ENGINES_AT_SHORTEST = 10;

    private NoticePace() {}

    /**
     * Returns the pause between two notices about one engine.
     *
     * @param engines how many engines there are
     */
    public static Duration pause(int engines) {
        int groups = (engines + ENGINES_AT_SHORTEST - 1) / ENGINES_AT_SHORTEST;
        return SHORTEST.multipliedBy(Math.max(1, groups));
    }
}
