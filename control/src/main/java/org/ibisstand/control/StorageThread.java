package org.ibisstand.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.Output;
import org.ibisstand.storage.LogStore;

/**
 * Writes to the disk on its own thread, so that the control thread does not wait. Writes that queue
 * up during one sync share the next, so the number of syncs does not grow with the number of
 * commands.
 */
final class StorageThread implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 5;

    private final LogStore mStore;
    private final LongConsumer mOnPersisted;
    private final Consumer<IbisstandException> mOnFailure;
    private final BlockingQueue<Output.Persist> mPendingWrites = new LinkedBlockingQueue<>();
    private final ExecutorService mThread =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "control-storage"));

    /**
     * Starts the thread.
     *
     * @param store the store, which only this thread may use from now on
     * @param onPersisted called on the storage thread with the sequence up to which all outputs are
     *     durable
     * @param onFailure called on the storage thread with the first failure, after which nothing is
     *     written
     */
    StorageThread(
            LogStore store, LongConsumer onPersisted, Consumer<IbisstandException> onFailure) {
        mStore = store;
        mOnPersisted = onPersisted;
        mOnFailure = onFailure;
    }

    void write(Output.Persist persist) {
        mPendingWrites.add(persist);
        mThread.execute(this::writePending);
    }

    @Override
    public void close() {
        mThread.shutdown();
        try {
            mThread.awaitTermination(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mStore.close();
    }

    private void writePending() {
        List<Output.Persist> batch = new ArrayList<>();
        mPendingWrites.drainTo(batch);
        if (batch.isEmpty()) {
            return;
        }
        try {
            batch.forEach(persist -> persist.writeTo(mStore));
            if (batch.stream().anyMatch(persist -> !persist.records().isEmpty())) {
                mStore.sync();
            }
            mOnPersisted.accept(batch.getLast().sequence());
        } catch (IbisstandException e) {
            mOnFailure.accept(e);
        }
    }
}
