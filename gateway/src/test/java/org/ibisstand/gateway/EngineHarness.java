package org.ibisstand.gateway;

import static org.ibisstand.gateway.RequestTimeline.Step.ADMITTED;
import static org.ibisstand.gateway.RequestTimeline.Step.COMPLETED;
import static org.ibisstand.gateway.RequestTimeline.Step.EVENT;
import static org.ibisstand.gateway.RequestTimeline.Step.FAILED;
import static org.ibisstand.gateway.RequestTimeline.Step.NOT_STOPPED;
import static org.ibisstand.gateway.RequestTimeline.Step.REFUSAL_DELAYED;
import static org.ibisstand.gateway.RequestTimeline.Step.TRUNCATED;

import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToLongFunction;
import org.ibisstand.base.ManualClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Address;
import org.ibisstand.settings.Route;
import org.ibisstand.settings.Route.Repetition;
import org.ibisstand.settings.Route.WeightedService;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.settings.RoutingConfiguration;
import org.ibisstand.settings.RoutingConfiguration.CallerLimits;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;

/**
 * Gateways with versioned engines and a KV cache store. There is one gateway unless a test starts
 * more, and all of them are told the same unless a test addresses one. Every method returns once
 * all its effects have happened, and the clock does not advance between calls.
 */
final class EngineHarness implements AutoCloseable {
    static final String MODEL = "model";

    /** Longer than the backoff of an engine that refused a request. */
    private static final Duration REFUSAL_BACKOFF = Duration.ofMillis(101);

    /** Below the time after which the gateway treats an engine without output as silent. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(2_400);

    private static final int CAPACITY_TOKENS = 100_000;

    /** Large enough that requests go to any engine that has fewer running. */
    private static final int BUSY_RUNNING_REQUESTS = 5_000;

    private static final long TIMEOUT_MILLISECONDS = 60_000;

    private final VersionedFleet mFleet = new VersionedFleet();
    private final List<VersionedEngine> mEngines = new ArrayList<>();
    private final Map<String, StreamCaller> mCallers = new TreeMap<>();
    private final Map<String, InformedGateway> mGatewayByRequest = new HashMap<>();
    private final Set<String> mRequestedMoves = ConcurrentHashMap.newKeySet();
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final List<InformedGateway> mGateways = new ArrayList<>();
    private final Map<VersionedEngine, Integer> mReportedRunning = new ConcurrentHashMap<>();
    private Optional<CacheLookupServers> mCacheLookups = Optional.empty();
    private final boolean mAnnouncesWeights;
    private final long mInitialVersion;

    /**
     * Starts engines with the same weights version, which is also the ordered one.
     *
     * @param engineCount how many engines
     * @param version of their weights
     * @param announcesWeights whether their server records state the version
     */
    EngineHarness(int engineCount, long version, boolean announcesWeights) {
        mAnnouncesWeights = announcesWeights;
        mInitialVersion = version;
        for (int index = 0; index < engineCount; index++) {
            VersionedEngine engine = new VersionedEngine(mFleet, version);
            mEngines.add(engine);
        }
        startGateway(fleetState(version));
    }

    /** A gateway and the notices that have reached it. */
    static final class InformedGateway {
        private final GatewayDaemon mDaemon;
        private final Map<String, EngineNotice> mNotices = new ConcurrentHashMap<>();
        private final Map<VersionedEngine, Instant> mLastActivity = new HashMap<>();

        private InformedGateway(GatewayDaemon daemon) {
            mDaemon = daemon;
        }

        /** Applies what the control plane knows of routing, weights and servers. */
        void update(FleetState state) {
            mDaemon.update(state).join();
        }

        /** Applies a notice of an engine's weights version and of whether it loads others. */
        void sendNotice(VersionedEngine engine, boolean isLoading, long version) {
            mNotices.computeIfPresent(
                    engine.address(),
                    (address, notice) ->
                            notice.toBuilder()
                                    .setLoading(isLoading)
                                    .putWeights(MODEL, version)
                                    .build());
            repeatNotices();
        }

        private void reportRunning(VersionedEngine engine, int runningRequests) {
            mNotices.computeIfPresent(
                    engine.address(),
                    (address, notice) ->
                            notice.toBuilder()
                                    .setRunning(runningRequests)
                                    .setUsedTokens(runningRequests == 0 ? 0 : CAPACITY_TOKENS)
                                    .build());
        }

        private void repeatNotices() {
            mDaemon.updateEngines(
                            EngineNotices.newBuilder().addAllEngines(mNotices.values()).build())
                    .join();
        }
    }

    /** Records which moves the gateway requests, before it sends the request. */
    private final class RecordingRunMoveProtocol implements RunMoveProtocol {
        @Override
        public FullHttpRequest copyRequest(String request, String target) {
            mRequestedMoves.add(request);
            return Samples.RUN_MOVE_PROTOCOL.copyRequest(request, target);
        }

        @Override
        public FullHttpRequest stopRequest(String request, String target) {
            return Samples.RUN_MOVE_PROTOCOL.stopRequest(request, target);
        }

        @Override
        public FullHttpRequest releaseRequest(String handle) {
            return Samples.RUN_MOVE_PROTOCOL.releaseRequest(handle);
        }

        @Override
        public Reply parseResponse(int status, byte[] body) {
            return Samples.RUN_MOVE_PROTOCOL.parseResponse(status, body);
        }
    }

    /** Starts another gateway, which knows only the given state and no notices. */
    InformedGateway startGateway(FleetState state) {
        InformedGateway gateway =
                new InformedGateway(
                        GatewayDaemon.start(
                                Samples.SETTINGS,
                                Samples.HEADER_NAMES,
                                PromptHeader::read,
                                new RecordingRunMoveProtocol(),
                                mClock,
                                new MetricRegistry()));
        for (VersionedEngine engine : mEngines) {
            gateway.mLastActivity.put(engine, mClock.instant());
            gateway.mNotices.put(
                    engine.address(),
                    EngineNotice.newBuilder()
                            .setAddress(engine.address())
                            .setCapacityTokens(CAPACITY_TOKENS)
                            .setAgent(
                                    mCacheLookups
                                            .map(lookups -> lookups.address(engine))
                                            .orElse(""))
                            .build());
        }
        mGateways.add(gateway);
        gateway.update(state);
        return gateway;
    }

    VersionedEngine engine(int index) {
        return mEngines.get(index);
    }

    List<VersionedEngine> engines() {
        return mEngines;
    }

    VersionedFleet fleet() {
        return mFleet;
    }

    /** Lets gateways that start from now on ask agents what engines have cached. */
    void startCacheLookups() {
        mCacheLookups =
                Optional.of(
                        new CacheLookupServers(
                                mEngines, engine -> mReportedRunning.getOrDefault(engine, 0)));
    }

    InformedGateway firstGateway() {
        return mGateways.getFirst();
    }

    List<InformedGateway> gateways() {
        return mGateways;
    }

    ManualClock clock() {
        return mClock;
    }

    /** Sets the weights version that operators ordered for all engines. */
    void setOrderedVersion(long version) {
        FleetState state = fleetState(version);
        mGateways.forEach(gateway -> gateway.update(state));
    }

    /** Returns a state with an ordered version and the engines' records from their start. */
    FleetState fleetState(long orderedVersion) {
        return fleetState(orderedVersion, engine -> mInitialVersion);
    }

    /** Returns a state with an ordered version and records of the engines' current weights. */
    FleetState currentFleetState(long orderedVersion) {
        return fleetState(orderedVersion, VersionedEngine::version);
    }

    private FleetState fleetState(
            long orderedVersion, ToLongFunction<VersionedEngine> announcedVersion) {
        List<ServerRecord> records = new ArrayList<>();
        for (VersionedEngine engine : mEngines) {
            ServerRecord.Builder record =
                    ServerRecord.newBuilder()
                            .setServer(engine.serverName())
                            .setService("service")
                            .setAddress(engine.address())
                            .setSlots(4);
            if (mAnnouncesWeights) {
                record.putWeights(MODEL, announcedVersion.applyAsLong(engine));
            }
            records.add(record.build());
        }
        return new FleetState(
                Optional.of(configuration()), Map.of(MODEL, orderedVersion), records, 1);
    }

    /** Sends the gateways a notice of an engine's weights and of whether it loads others. */
    void sendNotice(VersionedEngine engine, boolean isLoading, long version) {
        mGateways.forEach(gateway -> gateway.sendNotice(engine, isLoading, version));
    }

    /**
     * Advances the clock past the backoff of engines, unless one would be treated as silent;
     * returns whether it did.
     */
    boolean advancePastBackoff() {
        Instant next = mClock.instant().plus(REFUSAL_BACKOFF);
        boolean isAnySilent = false;
        for (InformedGateway gateway : mGateways) {
            for (VersionedEngine engine : mEngines) {
                if (engine.isIdle(request -> mGatewayByRequest.get(request) == gateway)) {
                    gateway.mLastActivity.put(engine, mClock.instant());
                }
                Instant lastActivity = gateway.mLastActivity.get(engine);
                isAnySilent |= !next.isBefore(lastActivity.plus(LONGEST_SILENCE));
            }
        }
        if (!isAnySilent) {
            mClock.advance(REFUSAL_BACKOFF);
            sendNotices();
        }
        return !isAnySilent;
    }

    /**
     * Reports all engines but one as busy, so that requests and runs go to it if they may. The
     * others follow it in a ring, each busier than the one before.
     */
    void preferEngine(VersionedEngine preferred) {
        int first = mEngines.indexOf(preferred);
        for (int distance = 0; distance < mEngines.size(); distance++) {
            VersionedEngine engine = mEngines.get((first + distance) % mEngines.size());
            int runningRequests = distance * BUSY_RUNNING_REQUESTS;
            mReportedRunning.put(engine, runningRequests);
            mGateways.forEach(gateway -> gateway.reportRunning(engine, runningRequests));
        }
        sendNotices();
    }

    /**
     * Sends a request, and returns its step once it runs, its refusal is delayed or it has ended.
     */
    RequestTimeline.Step sendRequest(String request, Repetition repetition, String prompt) {
        return sendRequest(firstGateway(), request, repetition, prompt);
    }

    /** Sends a request to the given gateway, and returns its step as above. */
    RequestTimeline.Step sendRequest(
            InformedGateway gateway, String request, Repetition repetition, String prompt) {
        RequestTimeline timeline = mFleet.timeline(request);
        String message =
                "POST %s HTTP/1.1\r\nHost: %s\r\nx-request: %s\r\n%s: %s\r\n"
                                .formatted(
                                        path(repetition),
                                        Samples.HOST,
                                        request,
                                        PromptHeader.NAME,
                                        prompt)
                        + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        mGatewayByRequest.put(request, gateway);
        mCallers.put(request, StreamCaller.send(gateway.mDaemon.port(), message, timeline));
        return timeline.awaitSettled();
    }

    /** Sends a request with a stream that is not resumable to the given engine. */
    RequestTimeline.Step sendRequestTo(VersionedEngine engine, String request, String prompt) {
        preferEngine(engine);
        return sendRequest(request, Repetition.STREAM, prompt);
    }

    /** Sends the next event of a run, and waits for the move that may follow. */
    void sendEvent(String request) {
        RequestTimeline timeline = mFleet.timeline(request);
        int previousSteps = timeline.size();
        VersionedEngine engine = mFleet.engineOf(request).get();
        mGatewayByRequest.get(request).mLastActivity.put(engine, mClock.instant());
        boolean isLast = engine.sendEvent(request);
        if (isLast) {
            timeline.awaitAny(previousSteps, Set.of(COMPLETED, TRUNCATED));
            return;
        }
        timeline.awaitAny(previousSteps, Set.of(EVENT, TRUNCATED));
        mGateways.forEach(
                gateway ->
                        gateway.mDaemon.updateEngines(EngineNotices.getDefaultInstance()).join());
        if (mRequestedMoves.remove(request)) {
            timeline.awaitAny(
                    previousSteps,
                    Set.of(ADMITTED, REFUSAL_DELAYED, NOT_STOPPED, FAILED, TRUNCATED, COMPLETED));
            awaitSettled();
        }
    }

    /** Preempts a run, which recomputes its KV cache and continues. */
    void preempt(String request) {
        mFleet.engineOf(request).get().recompute(request);
        sendEvent(request);
    }

    /** Starts a load at an engine; requests that are queued there go elsewhere. */
    void beginLoad(VersionedEngine engine) {
        engine.beginLoad();
        while (engine.refuseQueued()) {
            awaitSettled();
        }
    }

    /** Loads other weights at an engine, under which its runs continue. */
    void loadWeights(VersionedEngine engine, long version) {
        beginLoad(engine);
        engine.completeLoad(version, LoadMode.RUNS_CONTINUE);
    }

    /** Resets the runs of an engine; requests that may be repeated go elsewhere. */
    void resetRuns(VersionedEngine engine) {
        engine.resetRuns();
        awaitSettled();
    }

    /** Restarts an engine with its former weights, at its address and under a server name. */
    void restart(VersionedEngine engine, String serverName) {
        engine.restart(serverName);
        awaitSettled();
    }

    void sendDelayedRefusals(VersionedEngine engine) {
        while (engine.sendDelayedRefusal()) {
            awaitSettled();
        }
    }

    /** Returns the requests whose callers still wait for a response or its end. */
    List<String> openRequests() {
        return mCallers.keySet().stream()
                .filter(request -> !mFleet.timeline(request).isFinished())
                .toList();
    }

    Set<String> requests() {
        return mCallers.keySet();
    }

    /** Returns the identifiers of the events that a caller received, in order. */
    List<Integer> receivedEvents(String request) {
        return mCallers.get(request).events();
    }

    @Override
    public void close() {
        mGateways.forEach(gateway -> gateway.mDaemon.close());
        mEngines.forEach(VersionedEngine::close);
        mCacheLookups.ifPresent(CacheLookupServers::close);
    }

    /** Waits until no request is on its way to another engine after a refusal. */
    private void awaitSettled() {
        mCallers.keySet().forEach(request -> mFleet.timeline(request).awaitSettled());
    }

    private void sendNotices() {
        mGateways.forEach(InformedGateway::repeatNotices);
    }

    private static String path(Repetition repetition) {
        return repetition == Repetition.STREAM ? "/stream/" : "/resumable/";
    }

    private static RoutingConfiguration configuration() {
        return new RoutingConfiguration(
                1,
                List.of(route(Repetition.STREAM), route(Repetition.RESUMABLE_STREAM)),
                List.of(
                        new RoutedService(
                                "service",
                                "/health",
                                100,
                                Optional.of(
                                        new RoutedService.Engine(
                                                4,
                                                CAPACITY_TOKENS,
                                                10,
                                                1_000,
                                                true,
                                                List.of(MODEL))),
                                Optional.empty()),
                        new RoutedService(
                                "store",
                                "/health",
                                100,
                                Optional.empty(),
                                Optional.of(
                                        new RoutedService.CacheStore(
                                                Address.parse(VersionedFleet.STORE),
                                                "zone",
                                                CAPACITY_TOKENS,
                                                1_000)))),
                new CallerLimits(16384, 100_000, 3000, 15000),
                Optional.empty());
    }

    private static Route route(Repetition repetition) {
        return new Route(
                repetition.name(),
                Samples.HOST,
                path(repetition),
                repetition,
                TIMEOUT_MILLISECONDS,
                500,
                0,
                List.of(new WeightedService("service", 1)),
                4,
                true,
                true,
                400);
    }
}
