package org.ibisstand.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibisstand.fleet.FleetState;

/** What all requests of one gateway share; for the traffic thread only. */
final class Gateway {
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 << 20;

    private final GatewaySettings mSettings;
    private final ForwardingHeaders mNames;
    private final PromptReader mPrompts;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final BackendDirectory mDirectory = new BackendDirectory();
    private final BackendExchanges mExchanges;
    private final Placement mPlacement;
    private final GatewayMetrics mMetrics;
    private final Map<String, RetryAllowance> mAllowances = new HashMap<>();
    private final Set<CallerHandler> mCallers = new LinkedHashSet<>();
    private Optional<RouteTable> mTable = Optional.empty();
    private Map<String, Long> mWeights = Map.of();
    private int mEntries = 1;
    private volatile boolean mDraining;
    private volatile boolean mServing;

    Gateway(
            GatewaySettings settings,
            ForwardingHeaders names,
            PromptReader prompts,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            MetricRegistry metrics) {
        mSettings = settings;
        mNames = names;
        mPrompts = prompts;
        mLoop = loop;
        mClock = clock;
        mRandom = random;
        mExchanges = new BackendExchanges(loop, names, clock);
        mPlacement = new Placement(settings.zone(), mDirectory, new ServerChoice(random), clock);
        mMetrics = new GatewayMetrics(metrics);
    }

    /** Takes what control tells. */
    void update(FleetState state) {
        if (state.routing().isPresent()) {
            long version = state.routing().get().version();
            if (mTable.isEmpty() || mTable.get().version() < version) {
                mTable = state.routing().map(RouteTable::of);
                mServing = true;
            }
        }
        mWeights = state.weights();
        mEntries = state.entries();
        mDirectory.update(state.servers());
    }

    /** Returns whether requests can be served: a configuration is known. */
    boolean isServing() {
        return mServing;
    }

    boolean isDraining() {
        return mDraining;
    }

    void drain() {
        mDraining = true;
    }

    GatewaySettings settings() {
        return mSettings;
    }

    ForwardingHeaders names() {
        return mNames;
    }

    PromptReader prompts() {
        return mPrompts;
    }

    EventLoop loop() {
        return mLoop;
    }

    RandomGenerator random() {
        return mRandom;
    }

    long now() {
        return mClock.millis();
    }

    Optional<RouteTable> table() {
        return mTable;
    }

    BackendDirectory directory() {
        return mDirectory;
    }

    BackendExchanges exchanges() {
        return mExchanges;
    }

    Placement placement() {
        return mPlacement;
    }

    GatewayMetrics metrics() {
        return mMetrics;
    }

    Set<CallerHandler> callers() {
        return mCallers;
    }

    /** Returns how many entries share budgets and connection limits. */
    int entries() {
        return mEntries;
    }

    /** Returns the newest named version of a model's weights; zero if none was named. */
    long namedWeights(String model) {
        return mWeights.getOrDefault(model, 0L);
    }

    RetryAllowance allowance(String service) {
        return mAllowances.computeIfAbsent(
                service,
                name ->
                        new RetryAllowance(
                                mSettings.retryRatio(),
                                mSettings.retryFixed(),
                                mSettings.retryWindowMilliseconds(),
                                mClock));
    }

    int maximumBodyBytes() {
        return mTable.map(table -> table.limits().maximumBodyBytes())
                .orElse(DEFAULT_MAXIMUM_BODY_BYTES);
    }
}
