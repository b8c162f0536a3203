package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.EngineOrder;
import org.ibisstand.wire.message.EngineOrderReply;
import org.tinylog.Logger;

/**
 * Executes load orders of control at the engine and rejects those older than the newest one.
 *
 * <p>An order contains the boot identifier of the agent that it was sent to, so the highest fencing
 * number need not be persisted: after a restart the boot identifier of every earlier order no
 * longer matches. For the control thread only.
 */
final class FencedOrderExecutor {
    private final BootIdentifier mBoot;
    private final EngineLoader mLoader;
    private final BiConsumer<String, String> mLoadedListener;
    private long mHighestFencingNumber;

    /**
     * Creates an executor.
     *
     * @param boot the boot identifier of this agent
     * @param loader sends load orders to the engine
     * @param loadedListener receives the model and weights version once the engine serves it
     */
    FencedOrderExecutor(
            BootIdentifier boot, EngineLoader loader, BiConsumer<String, String> loadedListener) {
        mBoot = boot;
        mLoader = loader;
        mLoadedListener = loadedListener;
    }

    CompletableFuture<EngineOrderReply> execute(EngineOrder order) {
        long number = order.getFencingNumber();
        if (order.getBoot() != mBoot.value() || number < mHighestFencingNumber) {
            Logger.warn("event=order_fenced number={} model={}", number, order.getModel());
            return CompletableFuture.completedFuture(rejected(ErrorCode.FENCED));
        }
        mHighestFencingNumber = number;
        return mLoader.load(order.getModel(), order.getWeightsVersion(), number)
                .thenRun(() -> mLoadedListener.accept(order.getModel(), order.getWeightsVersion()))
                .handle((ignored, failure) -> failure == null ? accepted() : rejected(failure));
    }

    long highestFencingNumber() {
        return mHighestFencingNumber;
    }

    private static EngineOrderReply accepted() {
        return EngineOrderReply.newBuilder().setAccepted(true).build();
    }

    private static EngineOrderReply rejected(Throwable failure) {
        Logger.warn("event=order_failed cause={}", failure.toString());
        return rejected(ErrorCode.BACKEND_FAILED);
    }

    private static EngineOrderReply rejected(ErrorCode code) {
        return EngineOrderReply.newBuilder().setCode(code.name()).build();
    }
}
