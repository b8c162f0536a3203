package org.ibisstand.agent;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.wire.message.EngineOrder;
import org.ibisstand.wire.message.EngineOrderReply;
import org.tinylog.Logger;

/**
 * Passes orders of control on to the engine, and refuses those that a newer one has overtaken.
 *
 * <p>An order names the boot of the agent that it was meant for, so the highest fencing number need
 * not outlive the process: after a restart every earlier order is refused by its boot. For the
 * control thread only.
 */
final class EngineOrders {
    private final BootIdentifier mBoot;
    private final EngineLoader mLoader;
    private final BiConsumer<String, String> mLoaded;
    private long mHighestFencingNumber;

    /**
     * Creates the gate in front of an engine.
     *
     * @param boot of this agent
     * @param loader reaches the engine
     * @param loaded receives model and weights version once the engine serves it
     */
    EngineOrders(BootIdentifier boot, EngineLoader loader, BiConsumer<String, String> loaded) {
        mBoot = boot;
        mLoader = loader;
        mLoaded = loaded;
    }

    CompletableFuture<EngineOrderReply> execute(EngineOrder order) {
        long number = order.getFencingNumber();
        if (order.getBoot() != mBoot.value() || number < mHighestFencingNumber) {
            Logger.warn("event=order_fenced number={} model={}", number, order.getModel());
            return CompletableFuture.completedFuture(refused(ErrorCode.FENCED));
        }
        mHighestFencingNumber = number;
        return mLoader.load(order.getModel(), order.getWeightsVersion(), number)
                .thenRun(() -> mLoaded.accept(order.getModel(), order.getWeightsVersion()))
                .handle((done, failure) -> failure == null ? accepted() : refused(failure));
    }

    long highestFencingNumber() {
        return mHighestFencingNumber;
    }

    private static EngineOrderReply accepted() {
        return EngineOrderReply.newBuilder().setAccepted(true).build();
    }

    private static EngineOrderReply refused(Throwable failure) {
        Logger.warn("event=order_failed cause={}", failure.toString());
        return refused(ErrorCode.BACKEND_FAILED);
    }

    private static EngineOrderReply refused(ErrorCode code) {
        return EngineOrderReply.newBuilder().setCode(code.name()).build();
    }
}
