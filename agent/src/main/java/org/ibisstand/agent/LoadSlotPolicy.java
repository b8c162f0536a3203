package org.ibisstand.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides whether an engine may load new weights now; a pure function of its arguments.
 *
 * <p>A new version is announced for all engines at once, sometimes before the previous one is
 * loaded everywhere. Parallel loads slow each other down and a loading engine serves no requests,
 * so a quarter of the engines loads at a time, those with the oldest weights first. Of the last
 * ones, half load at a time, so that their runs can move to the other half. All agents have the
 * same server list, so they compute the same order without exchanging messages.
 */
final class LoadSlotPolicy {
    /** One group loads while the other three quarters of the engines serve requests. */
    private static final int GROUP_COUNT = 4;

    /**
     * How long a group may delay the next one: twice the time of a load and of a drain whose runs
     * can move. An engine that takes longer no longer holds a slot.
     */
    private static final Duration GROUP_TIMEOUT = Duration.ofMillis(1_800);

    private LoadSlotPolicy() {}

    /**
     * An engine of the service.
     *
     * @param name the name of its server
     * @param version the weights version that it serves
     * @param loading whether it is loading weights
     */
    record Engine(String name, long version, boolean loading) {}

    /**
     * Returns whether an engine may load the newest weights now.
     *
     * @param name the server name of the engine beside this agent
     * @param engines all engines of the service
     * @param targetVersion the newest weights version
     * @param outdatedFor the time since the announcement of the first version that the engine has
     *     not loaded
     */
    static boolean mayLoadNow(
            String name, Collection<Engine> engines, long targetVersion, Duration outdatedFor) {
        List<Engine> order =
                engines.stream()
                        .sorted(
                                Comparator.comparingLong(Engine::version)
                                        .thenComparingInt(engine -> engine.name().hashCode())
                                        .thenComparing(Engine::name))
                        .toList();
        int groupSize = Math.max(1, (order.size() + GROUP_COUNT - 1) / GROUP_COUNT);
        int position = 0;
        int updatedCount = 0;
        int outdatedCount = 0;
        int enginesAhead = 0;
        boolean isSelfPassed = false;
        for (Engine engine : order) {
            boolean isOutdated = engine.version() < targetVersion;
            outdatedCount += isOutdated ? 1 : 0;
            updatedCount += isOutdated ? 0 : 1;
            if (engine.name().equals(name)) {
                isSelfPassed = true;
                continue;
            }
            position += isSelfPassed ? 0 : 1;
            enginesAhead += isOutdated && (!isSelfPassed || engine.loading()) ? 1 : 0;
        }
        // Engines that have loaded are sorted last; counting them keeps the group of each engine.
        Duration maximumWait =
                GROUP_TIMEOUT.multipliedBy(1 + (position + updatedCount) / groupSize);
        int slots = Math.clamp((outdatedCount + 1) / 2, 1, groupSize);
        return enginesAhead < slots || outdatedFor.compareTo(maximumWait) >= 0;
    }
}
