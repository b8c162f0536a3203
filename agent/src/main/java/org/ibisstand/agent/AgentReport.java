package org.ibisstand.agent;

import java.util.Map;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.settings.AgentSettings;

/** Collects the state of an agent for its status report; for the control thread only. */
final class AgentReport {
    /**
     * The state of an agent.
     *
     * @param role always {@code agent}
     * @param agent the name of the agent
     * @param boot the boot identifier of the process
     * @param zone the availability zone
     * @param announced whether a member of control accepted its last announcement
     * @param leaving whether it is draining and rejects new requests
     * @param models the weights version that the engine serves of each model
     * @param waiting the number of queued requests
     * @param running the number of requests in progress at the backend server
     * @param openStreams the number of responses that are not completely delivered
     * @param rememberedAttempts the number of claimed attempts whose state is retained
     * @param indexedPieces the number of cached pieces in the index
     * @param indexBytes the memory used by the index, in bytes
     * @param eventGaps the number of gaps detected in the engine's cache events
     * @param indexCorrections the number of responses that contradicted the index
     * @param bytesPerMillisecond the measured prefill rate, in bytes of prompt per millisecond
     * @param highestFencingNumber the fencing number of the newest accepted load order
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

    static State of(AgentRuntime runtime, AgentComponents components, Announcer announcer) {
        AgentSettings settings = runtime.settings();
        RequestExecutor executor = components.executor();
        CacheIndex index = components.index();
        return new State(
                "agent",
                settings.agent(),
                runtime.boot().toString(),
                settings.zone(),
                announcer.isAnnounced(),
                announcer.isLeaving(),
                announcer.models(),
                executor.queue().waiting(),
                executor.queue().running(),
                components.streams().size(),
                executor.attemptCount(),
                index.size(),
                index.memoryBytes(),
                index.gaps(),
                index.corrections(),
                executor.queue().bytesPerMillisecond(),
                components.orders().highestFencingNumber());
    }
}
