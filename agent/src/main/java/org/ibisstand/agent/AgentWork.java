package org.ibisstand.agent;

import java.time.Duration;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.routing.QueuePolicy;
import org.ibisstand.routing.WorkQueue;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.BackendServer;
import org.ibisstand.wire.ControlClient;

/**
 * The parts of an agent that requests pass through.
 *
 * @param workload runs requests
 * @param streams carries their answers
 * @param index what the engine's cache holds
 * @param orders the gate for orders to the engine
 * @param handler takes what other processes send
 */
record AgentWork(
        Workload workload,
        Streams streams,
        CacheIndex index,
        EngineOrders orders,
        AgentHandler handler) {
    private static final Duration LONGEST_ANSWER = Duration.ofMinutes(30);

    static AgentWork create(
            AgentRuntime runtime,
            HttpBackend backend,
            BackendHealth health,
            ControlClient control,
            LoadedModels loaded) {
        AgentSettings settings = runtime.settings();
        AgentIdentifier agent = new AgentIdentifier(settings.agent());
        CacheIndex index = CacheIndex.create(runtime.clock());
        Workload workload =
                new Workload(
                        agent,
                        runtime.boot(),
                        runtime.clock(),
                        runtime.controlThread(),
                        WorkQueue.create(policy(settings), index, runtime.clock()),
                        backend,
                        health,
                        new ControlOutcomeRecorder(control, agent, runtime.boot()),
                        limits(settings),
                        new WorkloadMetrics(runtime.metrics()));
        Streams streams =
                new Streams(
                        settings.limits().streamBufferBytes(),
                        settings.timing().resumeMilliseconds(),
                        runtime.controlThread(),
                        workload::abandon);
        EngineLoader loader = new HttpEngineLoader(backend.client(), settings.backend().baseUrl());
        EngineOrders orders = new EngineOrders(runtime.boot(), loader, loaded::report);
        AgentHandler handler = new AgentHandler(runtime, workload, streams, orders);
        return new AgentWork(workload, streams, index, orders, handler);
    }

    private static QueuePolicy policy(AgentSettings settings) {
        int slots = settings.backend().slots();
        return switch (settings.backend()) {
            case BackendServer.Engine engine -> QueuePolicy.PriorityFairQueueing.forEngine(slots);
            case BackendServer.PlainService service ->
                    QueuePolicy.PriorityFairQueueing.forService(slots);
        };
    }

    private static WorkloadLimits limits(AgentSettings settings) {
        return new WorkloadLimits(
                settings.limits().maximumRecordedAnswerBytes(),
                settings.limits().streamBufferBytes(),
                Duration.ofMillis(settings.timing().resumeMilliseconds()),
                LONGEST_ANSWER);
    }
}
