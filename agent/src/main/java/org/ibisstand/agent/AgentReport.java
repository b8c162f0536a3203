package org.ibisstand.agent;

import java.util.Map;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.settings.AgentSettings;

/** Gathers what the state dump of an agent shows; for the control thread only. */
final class AgentReport {
    /**
     * The state of an agent.
     *
     * @param role always {@code agent}
     * @param agent its name
     * @param boot names this run
     * @param zone the availability zone
     * @param announced whether control knows of it
     * @param leaving whether it refuses new work
     * @param models the models with the weights that the engine serves
     * @param waiting how many requests wait
     * @param running how many requests are at the backend server
     * @param openStreams how many answers are not delivered yet
     * @param rememberedAttempts how many claimed attempts are remembered
     * @param indexedPieces how many cached pieces are known
     * @param indexBytes the memory of that knowledge in bytes
     * @param eventGaps how many gaps in the engine's events were seen
     * @param indexCorrections how many answers contradicted the index
     * @param bytesPerMillisecond the measured prefill speed
     * @param highestFencingNumber the newest order that was accepted
     */
    record State(
            String role,
            String agent,
            String boot,
            String zone,
            boolean announced,
            boolean leaving,
            Map<String, String> models,
            int waiting,
            int running,
            int openStreams,
            int rememberedAttempts,
            int indexedPieces,
            long indexBytes,
            long eventGaps,
            long indexCorrections,
            double bytesPerMillisecond,
            long highestFencingNumber) {}

    private AgentReport() {}

    static State of(AgentRuntime runtime, AgentWork work, Announcer announcer) {
        AgentSettings settings = runtime.settings();
        Workload workload = work.workload();
        CacheIndex index = work.index();
        return new State(
                "agent",
                settings.agent(),
                runtime.boot().toString(),
                settings.zone(),
                announcer.isAnnounced(),
                announcer.isLeaving(),
                announcer.models(),
                workload.queue().waiting(),
                workload.queue().running(),
                work.streams().size(),
                workload.attempts(),
                index.size(),
                index.memoryBytes(),
                index.gaps(),
                index.corrections(),
                workload.queue().bytesPerMillisecond(),
                work.orders().highestFencingNumber());
    }
}
