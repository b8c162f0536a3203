package org.ibisstand.gateway;

import static org.ibisstand.gateway.RunLog.Step.ADMITTED;
import static org.ibisstand.gateway.RunLog.Step.BROKEN;
import static org.ibisstand.gateway.RunLog.Step.ENDED;
import static org.ibisstand.gateway.RunLog.Step.EVENT;
import static org.ibisstand.gateway.RunLog.Step.NOT_SERVED;
import static org.ibisstand.gateway.RunLog.Step.NOT_STOPPED;
import static org.ibisstand.gateway.RunLog.Step.REFUSAL_HELD;

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
 * A gateway before versioned engines and a store. Every step returns once all that follows from it
 * has happened, and time stands still between steps.
 */
final class EngineScenario implements AutoCloseable {
    static final String MODEL = "model";

    /** Ends the pause of an engine that refused a request. */
    private static final Duration PAUSE = Duration.ofMillis(101);

    /** Below the time after which an engine that says nothing is taken for silent. */
    private static final Duration LONGEST_SILENCE = Duration.ofMillis(2_400);

    private static final int CAPACITY_TOKENS = 100_000;

    /** Requests go elsewhere while any engine is less busy. */
    private static final int BUSY_RUNNING = 5_000;

    private static final long TIMEOUT_MILLISECONDS = 60_000;

    private final VersionedFleet mFleet = new VersionedFleet();
    private final List<VersionedEngine> mEngines = new ArrayList<>();
    private final Map<String, EngineNotice> mTold = new ConcurrentHashMap<>();
    private final Map<VersionedEngine, Instant> mHeardAt = new HashMap<>();
    private final Map<String, StreamCaller> mCallers = new TreeMap<>();
    private final Set<String> mMovesAsked = ConcurrentHashMap.newKeySet();
    private final ManualClock mClock = ManualClock.at(Instant.ofEpochSecond(1_000));
    private final GatewayDaemon mGateway;
    private final boolean mAnnounced;
    private final long mFirstVersion;

    /**
     * Starts engines that all have one version, which is also the newest named.
     *
     * @param engines how many
     * @param version of their weights
     * @param announced whether their records tell of it
     */
    EngineScenario(int engines, long version, boolean announced) {
        mAnnounced = announced;
        mFirstVersion = version;
        for (int index = 0; index < engines; index++) {
            VersionedEngine engine = new VersionedEngine(mFleet, version);
            mEngines.add(engine);
            mHeardAt.put(engine, mClock.instant());
            mTold.put(
                    engine.address(),
                    EngineNotice.newBuilder()
                            .setAddress(engine.address())
                            .setCapacityTokens(CAPACITY_TOKENS)
                            .build());
        }
        mGateway =
                GatewayDaemon.start(
                        Samples.SETTINGS,
                        Samples.NAMES,
                        PromptHeader::read,
                        new NotedMoves(),
                        mClock,
                        new MetricRegistry());
        name(version);
    }

    /** Notes which moves the gateway asks for, before it does. */
    private final class NotedMoves implements RunMoveProtocol {
        @Override
        public FullHttpRequest moveRequest(String request, String target) {
            mMovesAsked.add(request);
            return Samples.RUN_MOVES.moveRequest(request, target);
        }

        @Override
        public Optional<StoppedRun> parseResponse(int status, byte[] body) {
            return Samples.RUN_MOVES.parseResponse(status, body);
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

    /** Names weights at the gateway. */
    void name(long version) {
        List<ServerRecord> records = new ArrayList<>();
        for (VersionedEngine engine : mEngines) {
            ServerRecord.Builder record =
                    ServerRecord.newBuilder()
                            .setServer("server-" + records.size())
                            .setService("service")
                            .setAddress(engine.address())
                            .setSlots(4);
            if (mAnnounced) {
                record.putWeights(MODEL, mFirstVersion);
            }
            records.add(record.build());
        }
        mGateway.update(
                        new FleetState(
                                Optional.of(configuration()), Map.of(MODEL, version), records, 1))
                .join();
    }

    /** Tells the gateway of an engine. */
    void tell(VersionedEngine engine, boolean loading, long version) {
        mTold.computeIfPresent(
                engine.address(),
                (address, told) ->
                        told.toBuilder().setLoading(loading).putWeights(MODEL, version).build());
        notice();
    }

    /** Lets the pauses of engines end, as long as none of them would be taken for silent. */
    void passTime() {
        Instant next = mClock.instant().plus(PAUSE);
        mEngines.stream()
                .filter(VersionedEngine::isIdle)
                .forEach(engine -> mHeardAt.put(engine, mClock.instant()));
        if (mEngines.stream()
                .allMatch(engine -> next.isBefore(mHeardAt.get(engine).plus(LONGEST_SILENCE)))) {
            mClock.advance(PAUSE);
            notice();
        }
    }

    /**
     * Makes all engines but one look busy, so that requests and runs go there if they may; the
     * others come in their order.
     */
    void favour(VersionedEngine favoured) {
        int first = mEngines.indexOf(favoured);
        for (int distance = 0; distance < mEngines.size(); distance++) {
            int running = distance * BUSY_RUNNING;
            mTold.computeIfPresent(
                    mEngines.get((first + distance) % mEngines.size()).address(),
                    (address, told) ->
                            told.toBuilder()
                                    .setRunning(running)
                                    .setUsedTokens(running == 0 ? 0 : CAPACITY_TOKENS)
                                    .build());
        }
        notice();
    }

    /** Sends a request, and returns what became of it at first. */
    RunLog.Step ask(String request, Repetition repetition, String prompt) {
        RunLog log = mFleet.log(request);
        String text =
                "POST %s HTTP/1.1\r\nHost: %s\r\nx-request: %s\r\n%s: %s\r\n"
                                .formatted(
                                        path(repetition),
                                        Samples.HOST,
                                        request,
                                        PromptHeader.NAME,
                                        prompt)
                        + "Connection: close\r\nContent-Length: 0\r\n\r\n";
        mCallers.put(request, StreamCaller.ask(mGateway.port(), text, log));
        return log.awaitSettled();
    }

    /** Sends a request whose stream may not be resumed, to one engine. */
    RunLog.Step askAt(VersionedEngine engine, String request, String prompt) {
        favour(engine);
        return ask(request, Repetition.STREAM, prompt);
    }

    /** Makes the next event of a run, and waits for the move that may follow. */
    void event(String request) {
        RunLog log = mFleet.log(request);
        int from = log.size();
        VersionedEngine engine = mFleet.engineOf(request).get();
        mHeardAt.put(engine, mClock.instant());
        boolean isLast = engine.makeEvent(request);
        if (isLast) {
            log.await(from, Set.of(ENDED, BROKEN));
            return;
        }
        log.await(from, Set.of(EVENT, BROKEN));
        mGateway.noticed(EngineNotices.getDefaultInstance()).join();
        if (mMovesAsked.remove(request)) {
            log.await(from, Set.of(ADMITTED, REFUSAL_HELD, NOT_STOPPED, NOT_SERVED, BROKEN, ENDED));
            settle();
        }
    }

    /** Has a run preempted, read again and go on. */
    void preempt(String request) {
        mFleet.engineOf(request).get().preempt(request);
        event(request);
    }

    /** Lets an engine begin to load; requests that have not started there go elsewhere. */
    void beginLoad(VersionedEngine engine) {
        engine.beginLoad();
        while (engine.refuseWaiting()) {
            settle();
        }
    }

    /** Lets an engine have other weights, under which its runs go on. */
    void load(VersionedEngine engine, long version) {
        beginLoad(engine);
        engine.completeLoad(version);
    }

    void releaseRefusals(VersionedEngine engine) {
        while (engine.releaseRefusal()) {
            settle();
        }
    }

    /** Returns the requests that were sent and whose callers wait. */
    List<String> open() {
        return mCallers.keySet().stream().filter(request -> !mFleet.log(request).isOver()).toList();
    }

    Set<String> requests() {
        return mCallers.keySet();
    }

    /** Returns the events that a caller got. */
    List<Integer> events(String request) {
        return mCallers.get(request).events();
    }

    @Override
    public void close() {
        mGateway.close();
        mEngines.forEach(VersionedEngine::close);
    }

    /** Waits until requests that were refused have gone elsewhere, or ended. */
    private void settle() {
        mCallers.keySet().forEach(request -> mFleet.log(request).awaitSettled());
    }

    private void notice() {
        mGateway.noticed(EngineNotices.newBuilder().addAllEngines(mTold.values()).build()).join();
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
