package org.ibisstand.agent;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Function;
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
 * longer matches. An order is sent to the engine only after the agent's runs of the model have
 * ended. For the control thread only.
 */
final class FencedOrderExecutor {
    /** Announced while the engine may have either version, so that control orders a load again. */
    private static final String UNKNOWN_VERSION = "";

    private final BootIdentifier mBoot;
    private final Executor mControlThread;
    private final EngineLoader mLoader;
    private final LoadedWeights mWeights;
    private final Function<String, CompletableFuture<Boolean>> mDrain;
    private final BiConsumer<String, String> mLoadedListener;
    private long mHighestFencingNumber;

    /**
     * Creates an executor.
     *
     * @param boot the boot identifier of this agent
     * @param controlThread the thread on which replies of the engine are processed
     * @param loader sends load orders to the engine
     * @param weights the weights that the engine serves; changed by orders
     * @param drain waits for the runs of a model and returns, on the control thread, whether all
     *     have ended
     * @param loadedListener receives the model and weights version once the engine serves it
     */
    FencedOrderExecutor(
            BootIdentifier boot,
            Executor controlThread,
            EngineLoader loader,
            LoadedWeights weights,
            Function<String, CompletableFuture<Boolean>> drain,
            BiConsumer<String, String> loadedListener) {
        mBoot = boot;
        mControlThread = controlThread;
        mLoader = loader;
        mWeights = weights;
        mDrain = drain;
        mLoadedListener = loadedListener;
    }

    CompletableFuture<EngineOrderReply> execute(EngineOrder order) {
        long number = order.getFencingNumber();
        if (order.getBoot() != mBoot.value() || number < mHighestFencingNumber) {
            return CompletableFuture.completedFuture(fenced(order));
        }
        mHighestFencingNumber = number;
        mWeights.onOrder(order.getModel());
        return mDrain.apply(order.getModel()).thenCompose(drained -> load(order, drained));
    }

    long highestFencingNumber() {
        return mHighestFencingNumber;
    }

    private CompletableFuture<EngineOrderReply> load(EngineOrder order, boolean drained) {
        String model = order.getModel();
        boolean isNewest = order.getFencingNumber() == mHighestFencingNumber;
        if (!drained || !isNewest) {
            mWeights.onOrderEnded(model, mWeights.version(model));
            return CompletableFuture.completedFuture(isNewest ? undrained(order) : fenced(order));
        }
        return mLoader.load(model, order.getWeightsVersion(), order.getFencingNumber())
                .handleAsync(
                        (loaded, failure) -> onLoadEnded(order, loaded, failure), mControlThread);
    }

    private EngineOrderReply onLoadEnded(EngineOrder order, Boolean loaded, Throwable failure) {
        String model = order.getModel();
        boolean isRefused = failure == null && !loaded;
        if (isRefused) {
            mWeights.onOrderEnded(model, mWeights.version(model));
            return rejected(ErrorCode.BACKEND_FAILED);
        }
        Optional<String> version =
                failure == null ? versionAfterLoad(order) : Optional.<String>empty();
        mWeights.onOrderEnded(model, version);
        mLoadedListener.accept(model, version.orElse(UNKNOWN_VERSION));
        return failure == null ? accepted() : rejected(failure);
    }

    /** Returns the version that the engine has; replies of two orders may come in either order. */
    private Optional<String> versionAfterLoad(EngineOrder order) {
        String version = order.getWeightsVersion();
        return order.getFencingNumber() == mHighestFencingNumber
                ? Optional.of(version)
                : mWeights.version(order.getModel()).filter(version::equals);
    }

    private static EngineOrderReply accepted() {
        return EngineOrderReply.newBuilder().setAccepted(true).build();
    }

    private static EngineOrderReply fenced(EngineOrder order) {
        Logger.warn(
                "event=order_fenced number={} model={}",
                order.getFencingNumber(),
                order.getModel());
        return rejected(ErrorCode.FENCED);
    }

    private static EngineOrderReply undrained(EngineOrder order) {
        Logger.warn(
                "event=order_failed cause=\"runs of {} did not end in time\"", order.getModel());
        return rejected(ErrorCode.DEADLINE_EXCEEDED);
    }

    private static EngineOrderReply rejected(Throwable failure) {
        Logger.warn("event=order_failed cause={}", failure.toString());
        return rejected(ErrorCode.BACKEND_FAILED);
    }

    private static EngineOrderReply rejected(ErrorCode code) {
        return EngineOrderReply.newBuilder().setCode(code.name()).build();
    }
}
