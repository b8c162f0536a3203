package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ibisstand.agent.CacheEvents;
import org.ibisstand.agent.EngineStatus;
import org.ibisstand.agent.ManagedEngine;
import org.ibisstand.agent.RunHandling;
import org.ibisstand.agent.WeightsUpdaterDriver;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;

/**
 * The updater of weights that runs in production, with a simulated engine that carries out its
 * orders. The engine checks only the number of accepted orders, as the platform's engines do, so an
 * order that is delayed may reach it after its restart.
 */
final class EngineAgent implements ManagedEngine {
    private final EngineHarness mHarness;
    private final VersionedEngine mEngine;
    private final WeightsUpdaterDriver mUpdater;
    private final Deque<Order> mLateOrders = new ArrayDeque<>();
    private Delivery mDelivery = Delivery.PROMPT;
    private Optional<Order> mAccepted = Optional.empty();
    private long mAcceptedOrders;

    EngineAgent(
            EngineHarness harness, VersionedEngine engine, Consumer<EngineNotice> noticeListener) {
        mHarness = harness;
        mEngine = engine;
        mUpdater =
                new WeightsUpdaterDriver(this, engine.address(), harness.clock(), noticeListener);
    }

    /** What happens to an order on its way to the engine. */
    enum Delivery {
        PROMPT,
        RESPONSE_LOST,
        LATE
    }

    private record Order(long version, LoadMode mode, long expectedSequence) {}

    VersionedEngine engine() {
        return mEngine;
    }

    void update(FleetState state) {
        mUpdater.update(state);
    }

    void updateNotices(EngineNotices notices) {
        mUpdater.updateNotices(notices);
    }

    void tick() {
        mUpdater.tick();
    }

    void setDelivery(Delivery delivery) {
        mDelivery = delivery;
    }

    @Override
    public CompletableFuture<EngineStatus> status() {
        return CompletableFuture.completedFuture(
                new EngineStatus(
                        Map.of(EngineHarness.MODEL, mEngine.version()),
                        mAccepted.isPresent(),
                        mAcceptedOrders,
                        mEngine.runCount(true),
                        mEngine.runCount(false),
                        0,
                        0));
    }

    @Override
    public CompletableFuture<Boolean> load(
            String model, long version, RunHandling runHandling, long expectedSequence) {
        Order order = new Order(version, loadMode(runHandling), expectedSequence);
        if (mDelivery == Delivery.PROMPT) {
            return CompletableFuture.completedFuture(accept(order));
        }
        if (mDelivery == Delivery.LATE) {
            mLateOrders.add(order);
        } else {
            accept(order);
        }
        return CompletableFuture.failedFuture(new IllegalStateException("no response"));
    }

    @Override
    public CompletableFuture<CacheEvents> cacheEvents(long cursor) {
        return CompletableFuture.completedFuture(new CacheEvents(1, 0, false, List.of()));
    }

    /** Delivers the oldest late order; returns its version if the engine accepted it. */
    Optional<Long> deliverLateOrder() {
        return Optional.ofNullable(mLateOrders.poll()).filter(this::accept).map(Order::version);
    }

    /** Restarts the engine, which keeps its weights and forgets the orders that it accepted. */
    void restartEngine(String serverName) {
        mAccepted = Optional.empty();
        mAcceptedOrders = 0;
        mHarness.restart(mEngine, serverName);
    }

    /** Returns what the order that the engine carries out, if any, does to its runs. */
    Optional<LoadMode> acceptedMode() {
        return mAccepted.map(Order::mode);
    }

    /** Loads the ordered weights, unless runs have to finish first; returns whether it did. */
    boolean completeLoad() {
        boolean isReady =
                mAccepted
                        .filter(order -> order.mode() != LoadMode.RUNS_FINISH_FIRST || isIdle())
                        .isPresent();
        if (isReady) {
            Order order = mAccepted.get();
            mAccepted = Optional.empty();
            mEngine.completeLoad(order.version(), order.mode());
        }
        return isReady;
    }

    private static LoadMode loadMode(RunHandling runHandling) {
        return switch (runHandling) {
            case FINISH_FIRST -> LoadMode.RUNS_FINISH_FIRST;
            case RESET -> LoadMode.RUNS_RESET;
        };
    }

    private boolean isIdle() {
        return mEngine.runCount(true) + mEngine.runCount(false) == 0;
    }

    private boolean accept(Order order) {
        if (mAccepted.isPresent() || order.expectedSequence() != mAcceptedOrders) {
            return false;
        }
        if (order.version() == mEngine.version()) {
            return true;
        }
        mAcceptedOrders++;
        mAccepted = Optional.of(order);
        mHarness.beginLoad(mEngine);
        if (order.mode() == LoadMode.RUNS_RESET) {
            mHarness.resetRuns(mEngine);
        }
        return true;
    }
}
