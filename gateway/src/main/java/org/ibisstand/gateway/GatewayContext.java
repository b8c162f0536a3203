package org.ibisstand.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.ibisstand.base.LoggedTask;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.gateway.limits.OverloadQueue;
import org.ibisstand.gateway.limits.QuotaControl;
import org.ibisstand.gateway.limits.QuotaGate;
import org.ibisstand.routing.overload.OverloadPolicy;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.EngineNotices;

/** State that all requests of one gateway share. Confined to the gateway's event loop. */
final class GatewayContext {
    /** In force until a configuration is known; the same as the default in configurations. */
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 << 20;

    private static final long NEVER = Long.MAX_VALUE;

    /** Bounds the work of many refusals; short against stops of seconds. */
    private static final long UNFINISHED_INTERVAL_MILLISECONDS = 100;

    private final GatewaySettings mSettings;
    private final HeaderNames mHeaderNames;
    private final PromptReader mPromptReader;
    private final RunMoveProtocol mRunMoveProtocol;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final BackendDirectory mDirectory;
    private final BackendClient mBackendClient;
    private final AgentCacheLookup mCacheLookup;
    private final ServerPlacement mServerPlacement;
    private final ServiceRates mServiceRates;
    private final PromptPlacement mPromptPlacement;
    private final BufferedResponses mBufferedResponses =
            new BufferedResponses(BufferedResponses.MAXIMUM_BYTES);
    private final BufferedResponses mUnwrittenResponses;
    private final CallerBodies mCallerBodies = new CallerBodies();
    private final GatewayMetrics mMetrics;
    private final PartQuarantine mPartQuarantine;
    private final QuotaGate mQuotaGate;
    private final Optional<OverloadQueue> mOverloadQueue;
    private final Map<String, RetryBudget> mRetryBudgets = new HashMap<>();
    private final Set<CallerConnection> mCallers = new LinkedHashSet<>();
    private final List<Runnable> mWhenConfigured = new ArrayList<>();
    private Optional<RouteTable> mRouteTable = Optional.empty();
    private final WeightsHistory mWeightsHistory = new WeightsHistory();
    private int mGatewayCount = 1;
    private final RouteDurations mRouteDurations = new RouteDurations();
    private final StopRefusals mStopRefusals = new StopRefusals();
    private long mRecordsUnfinishedAt = Long.MIN_VALUE;
    private volatile long mStopsAt = NEVER;
    private volatile long mDrainsSince;
    private volatile boolean mConfigured;

    GatewayContext(
            GatewaySettings settings,
            HeaderNames headerNames,
            PromptReader promptReader,
            RunMoveProtocol runMoveProtocol,
            WireContext wire,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            MetricRegistry metrics,
            Consumer<EngineNotices> control,
            QuotaControl quotaControl) {
        mSettings = settings;
        mUnwrittenResponses = new BufferedResponses(settings.maximumUnwrittenBytes());
        mHeaderNames = headerNames;
        mPromptReader = promptReader;
        mRunMoveProtocol = runMoveProtocol;
        mLoop = loop;
        mClock = clock;
        mRandom = random;
        mDirectory = new BackendDirectory(random);
        mBackendClient = new BackendClient(loop, headerNames, clock);
        mCacheLookup = new AgentCacheLookup(wire);
        ServerSelector selector = new ServerSelector(random);
        mServerPlacement = new ServerPlacement(mDirectory, selector, clock);
        mMetrics = new GatewayMetrics(metrics);
        mServiceRates = new ServiceRates(mMetrics, clock);
        mPromptPlacement =
                new PromptPlacement(
                        mDirectory,
                        selector,
                        mWeightsHistory,
                        mCacheLookup,
                        mServiceRates,
                        random,
                        clock);
        mPartQuarantine =
                new PartQuarantine(mDirectory, new ConnectionProbe(loop), control, mMetrics, clock);
        mQuotaGate =
                new QuotaGate(settings.process(), quotaControl, this::schedule, mMetrics, clock);
        mOverloadQueue =
                settings.overloadControl()
                        ? Optional.of(
                                new OverloadQueue(
                                        new OverloadPolicy(clock, random),
                                        clock,
                                        this::schedule,
                                        mMetrics))
                        : Optional.empty();
    }

    /** Applies the routing, weights and servers that the control plane sent. */
    void update(FleetState state) {
        if (state.routing().isPresent()) {
            long version = state.routing().get().version();
            if (mRouteTable.isEmpty() || mRouteTable.get().version() < version) {
                mRouteTable = state.routing().map(RouteTable::of);
                mConfigured = true;
                mWhenConfigured.forEach(mLoop::execute);
                mWhenConfigured.clear();
            }
        }
        mWeightsHistory.update(state.weights(), now());
        mGatewayCount = state.entries();
        mRouteTable.ifPresent(
                table -> mQuotaGate.configure(table.teamsWithQuota(), state.entries()));
        mDirectory.setGatewayCount(state.entries());
        mDirectory.update(state.servers(), now());
        mServiceRates.retain(mDirectory.servers());
        mPartQuarantine.checkServers();
    }

    /** Applies the notices of agents about their engines, and reports of engine crashes. */
    void updateEngines(EngineNotices notices) {
        notices.getEnginesList().forEach(notice -> mDirectory.updateNotice(notice, now()));
        mCacheLookup.setAgents(mDirectory.agentAddresses(now()));
        mPartQuarantine.checkServers();
        mPartQuarantine.receive(notices);
        mOverloadQueue.ifPresent(OverloadQueue::requestPoll);
    }

    /** Schedules a task to run once the first configuration is in force. */
    void whenConfigured(Runnable task) {
        mWhenConfigured.add(task);
    }

    /** Returns whether a configuration is known, so that requests can be served. */
    boolean isConfigured() {
        return mConfigured;
    }

    boolean isDraining() {
        return mStopsAt != NEVER;
    }

    void drain() {
        mDrainsSince = now();
        mStopsAt = mDrainsSince + mSettings.stopMilliseconds();
    }

    /** Returns how long ago the gateway was told to stop; zero if it was not. */
    long drainingMilliseconds() {
        return isDraining() ? now() - mDrainsSince : 0;
    }

    /** Returns whether this gateway stops within the given time. */
    boolean stopsWithin(long milliseconds) {
        return isDraining() && mStopsAt - now() < milliseconds;
    }

    /** Returns whether a request will end before this gateway stops, if it does. */
    boolean endsBeforeStop(AdmittedRequest request) {
        if (!isDraining()) {
            return true;
        }
        recordUnfinished();
        return StopPolicy.endsInTime(
                request.remainingMilliseconds(),
                mRouteDurations.longest(request.route().name(), now()),
                mStopsAt - now());
    }

    /**
     * Requests that go on tell how long others of their route may take, also at a gateway that
     * started a moment ago and has seen only short ones end.
     */
    private void recordUnfinished() {
        if (now() >= mRecordsUnfinishedAt) {
            mRecordsUnfinishedAt = now() + UNFINISHED_INTERVAL_MILLISECONDS;
            mCallers.forEach(CallerConnection::recordDuration);
        }
    }

    /** Returns what the stop refuses. */
    StopRefusals stopRefusals() {
        return mStopRefusals;
    }

    /** Counts a refusal of a stop, and returns the value of its Retry-After header. */
    String retryAfter() {
        return retryAfter(Optional.empty());
    }

    /**
     * Counts a refusal of a stop, and returns the value of its Retry-After header.
     *
     * @param service the service of the request; its servers may all have asked for a pause
     */
    String retryAfter(Optional<RoutedService> service) {
        boolean isServedElsewhere = isDraining() && mStopRefusals.isServedElsewhere();
        long pauseMilliseconds =
                service.map(each -> mDirectory.pauseMilliseconds(each, now())).orElse(0L);
        return RetryAfter.headerValue(isServedElsewhere, pauseMilliseconds, mRandom);
    }

    /** Records how long a request of a route took, or has taken until now. */
    void recordDuration(String route, long milliseconds, boolean isDone) {
        if (isDone) {
            mRouteDurations.record(route, milliseconds, now());
        } else {
            mRouteDurations.recordUnfinished(route, milliseconds, now());
        }
    }

    /**
     * Returns whether a request may go to another server if this gateway stops. The caller of a
     * stream that has begun would see it cut otherwise, so it goes on for as long as it can.
     */
    boolean hasTimeForRetry(AdmittedRequest request, boolean hasBegun) {
        return hasBegun ? now() < mStopsAt : endsBeforeStop(request);
    }

    GatewaySettings settings() {
        return mSettings;
    }

    HeaderNames headerNames() {
        return mHeaderNames;
    }

    PromptReader promptReader() {
        return mPromptReader;
    }

    RunMoveProtocol runMoveProtocol() {
        return mRunMoveProtocol;
    }

    EventLoop loop() {
        return mLoop;
    }

    /** Schedules a task on the event loop, and logs its failure. */
    Future<?> schedule(String name, Runnable task, long milliseconds) {
        return mLoop.schedule(LoggedTask.of(name, task), milliseconds, TimeUnit.MILLISECONDS);
    }

    RandomGenerator random() {
        return mRandom;
    }

    long now() {
        return mClock.millis();
    }

    Optional<RouteTable> routeTable() {
        return mRouteTable;
    }

    BackendDirectory directory() {
        return mDirectory;
    }

    BackendClient backendClient() {
        return mBackendClient;
    }

    ServerPlacement serverPlacement() {
        return mServerPlacement;
    }

    PromptPlacement promptPlacement() {
        return mPromptPlacement;
    }

    ServiceRates serviceRates() {
        return mServiceRates;
    }

    PartQuarantine partQuarantine() {
        return mPartQuarantine;
    }

    QuotaGate quotaGate() {
        return mQuotaGate;
    }

    /** Returns the queue of requests for engines without room; empty without overload control. */
    Optional<OverloadQueue> overloadQueue() {
        return mOverloadQueue;
    }

    BufferedResponses bufferedResponses() {
        return mBufferedResponses;
    }

    /** Returns the count of bytes that were passed to the connections of callers, not written. */
    BufferedResponses unwrittenResponses() {
        return mUnwrittenResponses;
    }

    CallerBodies callerBodies() {
        return mCallerBodies;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    Set<CallerConnection> callers() {
        return mCallers;
    }

    /** Returns how many gateways share retry budgets and connection limits. */
    int gatewayCount() {
        return mGatewayCount;
    }

    /** Returns the weights versions that operators ordered. */
    WeightsHistory weightsHistory() {
        return mWeightsHistory;
    }

    RetryBudget retryBudget(String service) {
        return mRetryBudgets.computeIfAbsent(
                service,
                name ->
                        new RetryBudget(
                                mSettings.retryRatio(),
                                mSettings.retryFixed(),
                                mSettings.retryWindowMilliseconds(),
                                mClock));
    }

    int maximumBodyBytes() {
        return mRouteTable
                .map(table -> table.limits().maximumBodyBytes())
                .orElse(DEFAULT_MAXIMUM_BODY_BYTES);
    }
}
