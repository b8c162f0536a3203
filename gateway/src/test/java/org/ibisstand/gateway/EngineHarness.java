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
 * A gateway with versioned engines and a KV cache store. Every method returns once all its effects
 * have happened, and the clock does not advance between calls.
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
    private final Map<String, EngineNotice> mNotices = new ConcurrentHashMap<>();
    private final Map<VersionedEngine, Instant> mLastActivity = new HashMap<>();
    private final Map<String, StreamCaller> mCallers = new TreeMap<>();
    private final Set<String> mRequestedMoves = ConcurrentHashMap.newKeySet();
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final GatewayDaemon mGateway;
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
            mLastActivity.put(engine, mClock.instant());
            mNotices.put(
                    engine.address(),
                    EngineNotice.newBuilder()
                            .setAddress(engine.address())
                            .setCapacityTokens(CAPACITY_TOKENS)
                            .build());
        }
        mGateway =
                GatewayDaemon.start(
                        Samples.SETTINGS,
                        Samples.HEADER_NAMES,
                        PromptHeader::read,
                        new RecordingRunMoveProtocol(),
                        mClock,
                        new MetricRegistry());
        setOrderedVersion(version);
    }

    /** Records which moves the gateway requests, before it sends the request. */
    private final class RecordingRunMoveProtocol implements RunMoveProtocol {
        @Override
        public FullHttpRequest moveRequest(String request, String target) {
            mRequestedMoves.add(request);
            return Samples.RUN_MOVE_PROTOCOL.moveRequest(request, target);
        }

        @Override
        public Optional<StoppedRun> parseResponse(int status, byte[] body) {
            return Samples.RUN_MOVE_PROTOCOL.parseResponse(status, body);
        }
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

    /** Sets the weights version that operators ordered for all engines. */
    void setOrderedVersion(long version) {
        List<ServerRecord> records = new ArrayList<>();
        for (VersionedEngine engine : mEngines) {
            ServerRecord.Builder record =
                    ServerRecord.newBuilder()
                            .setServer("server-" + records.size())
                            .setService("service")
                            .setAddress(engine.address())
                            .setSlots(4);
            if (mAnnouncesWeights) {
                record.putWeights(MODEL, mInitialVersion);
            }
            records.add(record.build());
        }
        mGateway.update(
                        new FleetState(
                                Optional.of(configuration()), Map.of(MODEL, version), records, 1))
                .join();
    }

    /** Sends the gateway a notice of an engine's weights version and of whether it loads others. */
    void sendNotice(VersionedEngine engine, boolean isLoading, long version) {
        mNotices.computeIfPresent(
                engine.address(),
                (address, notice) ->
                        notice.toBuilder()
                                .setLoading(isLoading)
                                .putWeights(MODEL, version)
                                .build());
        sendNotices();
    }

    /** Advances the clock past the backoff of engines, unless one would be treated as silent. */
    void advancePastBackoff() {
        Instant next = mClock.instant().plus(REFUSAL_BACKOFF);
        mEngines.stream()
                .filter(VersionedEngine::isIdle)
                .forEach(engine -> mLastActivity.put(engine, mClock.instant()));
        if (mEngines.stream()
                .allMatch(
                        engine -> next.isBefore(mLastActivity.get(engine).plus(LONGEST_SILENCE)))) {
            mClock.advance(REFUSAL_BACKOFF);
            sendNotices();
        }
    }

    /**
     * Reports all engines but one as busy, so that requests and runs go to it if they may. The
     * others follow it in a ring, each busier than the one before.
     */
    void preferEngine(VersionedEngine preferred) {
        int first = mEngines.indexOf(preferred);
        for (int distance = 0; distance < mEngines.size(); distance++) {
            int runningRequests = distance * BUSY_RUNNING_REQUESTS;
            mNotices.computeIfPresent(
                    mEngines.get((first + distance) % mEngines.size()).address(),
                    (address, notice) ->
                            notice.toBuilder()
                                    .setRunning(runningRequests)
                                    .setUsedTokens(runningRequests == 0 ? 0 : CAPACITY_TOKENS)
                                    .build());
        }
        sendNotices();
    }

    /**
     * Sends a request, and returns its step once it runs, its refusal is delayed or it has ended.
     */
    RequestTimeline.Step sendRequest(String request, Repetition repetition, String prompt) {
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
        mCallers.put(request, StreamCaller.send(mGateway.port(), message, timeline));
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
        mLastActivity.put(engine, mClock.instant());
        boolean isLast = engine.sendEvent(request);
        if (isLast) {
            timeline.awaitAny(previousSteps, Set.of(COMPLETED, TRUNCATED));
            return;
        }
        timeline.awaitAny(previousSteps, Set.of(EVENT, TRUNCATED));
        mGateway.updateEngines(EngineNotices.getDefaultInstance()).join();
        if (mRequestedMoves.remove(request)) {
            timeline.awaitAny(
                    previousSteps,
                    Set.of(ADMITTED, REFUSAL_DELAYED, NOT_STOPPED, FAILED, TRUNCATED, COMPLETED));
            awaitSettled();
        }
    }

    /** Preempts a run, which recomputes its KV cache and continues. */
    void preempt(String request) {
        mFleet.engineOf(request).get().preempt(request);
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
        engine.completeLoad(version);
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
        mGateway.close();
        mEngines.forEach(VersionedEngine::close);
    }

    /** Waits until no request is on its way to another engine after a refusal. */
    private void awaitSettled() {
        mCallers.keySet().forEach(request -> mFleet.timeline(request).awaitSettled());
    }

    private void sendNotices() {
        mGateway.updateEngines(EngineNotices.newBuilder().addAllEngines(mNotices.values()).build())
                .join();
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
