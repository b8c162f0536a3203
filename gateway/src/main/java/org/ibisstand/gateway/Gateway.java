package org.ibisstand.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.wire.WireContext;
import org.ibisstand.wire.message.EngineNotices;

/** What all requests of one gateway share; for the traffic thread only. */
final class Gateway {
    /** Until a configuration is known; the default of operators. */
    private static final int DEFAULT_MAXIMUM_BODY_BYTES = 4 << 20;

    private final GatewaySettings mSettings;
    private final HeaderNames mNames;
    private final PromptReader mPrompts;
    private final RunMoveProtocol mRunMoves;
    private final EventLoop mLoop;
    private final Clock mClock;
    private final RandomGenerator mRandom;
    private final BackendDirectory mDirectory = new BackendDirectory();
    private final BackendExchanges mExchanges;
    private final AgentOffers mOffers;
    private final Placement mPlacement;
    private final PromptPlacement mPromptPlacement;
    private final HeldAnswers mHeldAnswers = new HeldAnswers();
    private final GatewayMetrics mMetrics;
    private final Map<String, RetryAllowance> mAllowances = new HashMap<>();
    private final Set<CallerHandler> mCallers = new LinkedHashSet<>();
    private final List<Runnable> mOnceServing = new ArrayList<>();
    private Optional<RouteTable> mTable = Optional.empty();
    private final NamedWeights mWeights = new NamedWeights();
    private int mEntries = 1;
    private volatile boolean mDraining;
    private volatile boolean mServing;

    Gateway(
            GatewaySettings settings,
            HeaderNames names,
            PromptReader prompts,
            RunMoveProtocol runMoves,
            WireContext wire,
            EventLoop loop,
            Clock clock,
            RandomGenerator random,
            MetricRegistry metrics) {
        mSettings = settings;
        mNames = names;
        mPrompts = prompts;
        mRunMoves = runMoves;
        mLoop = loop;
        mClock = clock;
        mRandom = random;
        mExchanges = new BackendExchanges(loop, names, clock);
        mOffers = new AgentOffers(wire);
        ServerChoice choice = new ServerChoice(random);
        mPlacement = new Placement(mDirectory, choice, clock);
        mPromptPlacement =
                new PromptPlacement(mDirectory, choice, mWeights, mOffers, random, clock);
        mMetrics = new GatewayMetrics(metrics);
    }

    /** Takes what control tells. */
    void update(FleetState state) {
        if (state.routing().isPresent()) {
            long version = state.routing().get().version();
            if (mTable.isEmpty() || mTable.get().version() < version) {
                mTable = state.routing().map(RouteTable::of);
                mServing = true;
                mOnceServing.forEach(mLoop::execute);
                mOnceServing.clear();
            }
        }
        mWeights.update(state.weights(), now());
        mEntries = state.entries();
        mDirectory.shareWith(state.entries());
        mDirectory.update(state.servers(), now());
    }

    /** Takes what agents say of their engines. */
    void noticed(EngineNotices notices) {
        notices.getEnginesList().forEach(notice -> mDirectory.noticed(notice, now()));
        mOffers.keep(mDirectory.agents(now()));
    }

    /** Runs a task once the first configuration is in force. */
    void onceServing(Runnable task) {
        mOnceServing.add(task);
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

    HeaderNames names() {
        return mNames;
    }

    PromptReader prompts() {
        return mPrompts;
    }

    RunMoveProtocol runMoves() {
        return mRunMoves;
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

    PromptPlacement promptPlacement() {
        return mPromptPlacement;
    }

    HeldAnswers heldAnswers() {
        return mHeldAnswers;
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

    /** Returns the weights that operators named. */
    NamedWeights weights() {
        return mWeights;
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
