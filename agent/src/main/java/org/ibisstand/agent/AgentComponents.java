package org.ibisstand.agent;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.routing.QueuePolicy;
import org.ibisstand.routing.WorkQueue;
import org.ibisstand.settings.AgentSettings;
import org.ibisstand.settings.BackendServer;
import org.ibisstand.wire.ControlClient;

/**
 * The components of an agent that process requests.
 *
 * @param executor queues and executes requests
 * @param streams the open response streams
 * @param index the prompt pieces in the engine's cache
 * @param orders executes load orders of control at the engine
 * @param handler handles messages of other processes
 */
record AgentComponents(
        RequestExecutor executor,
        OutboundStreams streams,
        CacheIndex index,
        FencedOrderExecutor orders,
        AgentHandler handler) {
    /** With the time of a load at most what control waits for the reply to an order. */
    private static final Duration MAXIMUM_DRAIN_TIME = Duration.ofSeconds(4);

    private static final Duration MODEL_RESPONSE_TIMEOUT = Duration.ofMinutes(30);

    static AgentComponents create(
            AgentRuntime runtime,
            HttpBackend backend,
            BackendHealth health,
            ControlClient control,
            LoadedModelNotifier loadedModels) {
        AgentSettings settings = runtime.settings();
        AgentIdentifier agent = new AgentIdentifier(settings.agent());
        CacheIndex index = CacheIndex.create(runtime.clock());
        LoadedWeights weights = new LoadedWeights(weightsVersions(settings));
        RequestExecutor executor =
                new RequestExecutor(
                        agent,
                        runtime.boot(),
                        runtime.clock(),
                        runtime.controlThread(),
                        WorkQueue.create(queuePolicy(settings), index, runtime.clock()),
                        backend,
                        health,
                        weights,
                        new ControlOutcomeRecorder(control, agent, runtime.boot()),
                        limits(settings),
                        new ExecutionMetrics(runtime.metrics()));
        OutboundStreams streams =
                new OutboundStreams(
                        settings.limits().streamBufferBytes(),
                        settings.timing().resumeMilliseconds(),
                        runtime.controlThread(),
                        executor::onStreamAbandoned);
        EngineLoader loader = new HttpEngineLoader(backend.client(), settings.backend().baseUrl());
        FencedOrderExecutor orders =
                new FencedOrderExecutor(
                        runtime.boot(),
                        runtime.controlThread(),
                        loader,
                        weights,
                        model -> executor.drain(model, MAXIMUM_DRAIN_TIME),
                        loadedModels::notifyLoaded);
        AgentHandler handler = new AgentHandler(runtime, executor, streams, orders);
        return new AgentComponents(executor, streams, index, orders, handler);
    }

    private static Map<String, String> weightsVersions(AgentSettings settings) {
        return switch (settings.backend()) {
            case BackendServer.Engine engine ->
                    engine.models().stream()
                            .collect(
                                    Collectors.toMap(
                                            BackendServer.ServedModel::model,
                                            BackendServer.ServedModel::weightsVersion,
                                            (first, second) -> second));
            case BackendServer.PlainService service -> Map.of();
        };
    }

    private static QueuePolicy queuePolicy(AgentSettings settings) {
        int slots = settings.backend().slots();
        return switch (settings.backend()) {
            case BackendServer.Engine engine -> QueuePolicy.PriorityFairQueueing.forEngine(slots);
            case BackendServer.PlainService service ->
                    QueuePolicy.PriorityFairQueueing.forService(slots);
        };
    }

    private static ExecutionLimits limits(AgentSettings settings) {
        return new ExecutionLimits(
                settings.limits().maximumRecordedAnswerBytes(),
                settings.limits().streamBufferBytes(),
                Duration.ofMillis(settings.timing().resumeMilliseconds()),
                MODEL_RESPONSE_TIMEOUT);
    }
}
