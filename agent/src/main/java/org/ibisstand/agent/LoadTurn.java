package org.ibisstand.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides when an engine loads new weights; a decision without input or output.
 *
 * <p>It answers the pattern of weights that are named for all engines at once, also while the last
 * ones are not in place: loads slow each other down and a loading engine serves nobody, so a
 * quarter of the engines loads at a time, those with the oldest weights first. All agents know the
 * same servers and reach the same order without a message between them.
 */
final class LoadTurn {
    /** Three quarters of the engines carry the load meanwhile. */
    private static final int GROUPS = 4;

    /** Twice a load with the last requests before it: engines that take longer are passed over. */
    private static final Duration GROUP_PATIENCE = Duration.ofMillis(1_800);

    private LoadTurn() {}

    /**
     * An engine of the service.
     *
     * @param name its server
     * @param version the weights that it has
     * @param loading whether it loads weights now
     */
    record Engine(String name, long version, boolean loading) {}

    /**
     * Returns whether an engine should load now.
     *
     * @param name the engine beside the agent
     * @param engines all engines of its service
     * @param named the newest weights
     * @param lackingFor how long ago the first weights were named that the engine lacks
     */
    static boolean isNow(String name, Collection<Engine> engines, long named, Duration lackingFor) {
        List<Engine> order =
                engines.stream()
                        .sorted(
                                Comparator.comparingLong(Engine::version)
                                        .thenComparingInt(one -> one.name().hashCode())
                                        .thenComparing(Engine::name))
                        .toList();
        int groupSize = Math.max(1, (order.size() + GROUPS - 1) / GROUPS);
        int place = 0;
        int before = 0;
        boolean isPassed = false;
        for (Engine engine : order) {
            if (engine.name().equals(name)) {
                isPassed = true;
                continue;
            }
            place += isPassed ? 0 : 1;
            boolean lacks = engine.version() < named;
            before += lacks && (!isPassed || engine.loading()) ? 1 : 0;
        }
        Duration latest = GROUP_PATIENCE.multipliedBy(1 + place / groupSize);
        return before < groupSize || lackingFor.compareTo(latest) >= 0;
    }
}
