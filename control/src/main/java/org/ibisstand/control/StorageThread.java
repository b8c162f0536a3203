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
 * Writes to the disk apart from the control thread. Whatever gathers during one sync shares the
 * next, so the number of syncs does not grow with the number of commands.
 */
final class StorageThread implements AutoCloseable {
    private static final long STOP_SECONDS = 5;

    private final LogStore mStore;
    private final LongConsumer mPersisted;
    private final Consumer<IbisstandException> mFailed;
    private final BlockingQueue<Output.Persist> mWaiting = new LinkedBlockingQueue<>();
    private final ExecutorService mThread =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "control-storage"));

    /**
     * Starts the thread.
     *
     * @param store only this thread uses it from now on
     * @param persisted told on the storage thread up to which output all is durable
     * @param failed told on the storage thread of the first failure, after which nothing is written
     */
    StorageThread(LogStore store, LongConsumer persisted, Consumer<IbisstandException> failed) {
        mStore = store;
        mPersisted = persisted;
        mFailed = failed;
    }

    void write(Output.Persist persist) {
        mWaiting.add(persist);
        mThread.execute(this::writeWaiting);
    }

    @Override
    public void close() {
        mThread.shutdown();
        try {
            mThread.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mStore.close();
    }

    private void writeWaiting() {
        List<Output.Persist> batch = new ArrayList<>();
        mWaiting.drainTo(batch);
        if (batch.isEmpty()) {
            return;
        }
        try {
            batch.forEach(persist -> persist.writeTo(mStore));
            if (batch.stream().anyMatch(persist -> !persist.records().isEmpty())) {
                mStore.sync();
            }
            mPersisted.accept(batch.getLast().sequence());
        } catch (IbisstandException e) {
            mFailed.accept(e);
        }
    }
}
