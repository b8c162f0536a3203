package org.ibisstand.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides when an engine loads new weights; a decision without input or output.
 *
 * <p>It answers the pattern of weights that are named for all engines at once: loads slow each
 * other down and a loading engine serves nobody, so a quarter of the engines loads at a time. All
 * agents know the same servers and reach the same order without a message between them.
 */
final class LoadTurn {
    private static final int GROUPS = 4;

    /** A little more than one load of weights with the last requests before it. */
    private static final Duration GROUP_INTERVAL = Duration.ofMillis(700);

    private LoadTurn() {}

    /**
     * Returns how long after the naming of the weights an engine starts its load.
     *
     * @param engine the engine beside the agent
     * @param engines all engines of its service
     */
    static Duration delay(String engine, Collection<String> engines) {
        List<String> order =
                engines.stream()
                        .sorted(
                                Comparator.<String>comparingInt(String::hashCode)
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        int place = Math.max(0, order.indexOf(engine));
        int groupSize = Math.max(1, (order.size() + GROUPS - 1) / GROUPS);
        return GROUP_INTERVAL.multipliedBy(place / groupSize);
    }
}
