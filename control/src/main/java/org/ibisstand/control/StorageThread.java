package org.ibisstand.control;

import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.consensus.LogWriter;
import org.ibisstand.consensus.Output;
import org.ibisstand.storage.LogStore;

/**
 * Writes to the disk on its own thread, so that the control thread does not wait. Writes that queue
 * up during one sync share the next, so the number of syncs does not grow with the number of
 * commands.
 *
 * <p>A write that the disk refuses is repeated until it succeeds; the writes behind it wait, and
 * nothing that depends on them is reported as durable. After a failed sync the store reads its
 * files again, and all writes that were not reported as durable are repeated.
 */
final class StorageThread implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 5;

    /** Short against the seconds that an operator takes to free space. */
    private static final long REPEAT_INTERVAL_MILLISECONDS = 100;

    /** Longer, since all files are read again. */
    private static final long REOPEN_INTERVAL_MILLISECONDS = 500;

    private static final long NOTHING_DURABLE = -1;

    private final LogWriter mWriter;
    private final LongConsumer mOnPersisted;
    private final Consumer<IbisstandException> mOnFailure;
    private final Consumer<IbisstandException> mOnRefusal;
    private final Queue<Output.Persist> mNewWrites = new ConcurrentLinkedQueue<>();
    private final ScheduledExecutorService mThread =
            new LoggingScheduler("control-storage", LogLine::write);
    private boolean mHasFailed;
    private long mDurableSequence = NOTHING_DURABLE;
    private long mReportedSequence = NOTHING_DURABLE;
    private int mRefusals;
    private volatile boolean mIsRefused;

    /**
     * Creates the thread; nothing is written before {@link #start}.
     *
     * @param store the store, which only this thread may use from now on
     * @param onPersisted called on the storage thread with the sequence up to which all outputs are
     *     durable; first with zero, once everything that the store held when it was opened is
     *     durable
     * @param onRefusal called on the storage thread each time the disk refuses a write or a sync
     * @param onFailure called on the storage thread if synced content is lost, after which nothing
     *     is written
     */
    StorageThread(
            LogStore store,
            LongConsumer onPersisted,
            Consumer<IbisstandException> onRefusal,
            Consumer<IbisstandException> onFailure) {
        mWriter = new LogWriter(store);
        mOnPersisted = onPersisted;
        mOnRefusal = onRefusal;
        mOnFailure = onFailure;
    }

    void start() {
        mThread.execute(this::writePending);
    }

    /** Returns whether the disk refused the last write or sync. */
    boolean isRefused() {
        return mIsRefused;
    }

    void write(Output.Persist persist) {
        mNewWrites.add(persist);
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
        mWriter.close();
    }

    private void writePending() {
        if (mRefusals == 0 && !mHasFailed) {
            writeAll();
        }
    }

    private void writeAll() {
        CompletableFuture<Void> attempt =
                CompletableFuture.runAsync(this::writeAndSync, Runnable::run);
        if (!attempt.isCompletedExceptionally()) {
            accepted();
            reportPersisted();
            return;
        }
        switch (attempt.exceptionNow()) {
            case IbisstandException e when e.code() == ErrorCode.STORAGE_DAMAGED -> {
                mHasFailed = true;
                mOnFailure.accept(e);
            }
            case IbisstandException e -> refused(e);
            case Throwable unexpected -> {
                if (Integer.bitCount(mRefusals + 1) == 1) {
                    LogLine.error("storage_task_failed").cause(unexpected).write();
                }
                refused(
                        new IbisstandException(
                                ErrorCode.INTERNAL, String.valueOf(unexpected), unexpected));
            }
        }
    }

    private void writeAndSync() {
        for (int remaining = mNewWrites.size(); remaining > 0; remaining--) {
            mWriter.add(mNewWrites.remove());
        }
        if (mWriter.size() > 0 || mDurableSequence == NOTHING_DURABLE) {
            mWriter.write();
            mDurableSequence = mWriter.sync();
        }
    }

    private void reportPersisted() {
        if (mDurableSequence > mReportedSequence) {
            mReportedSequence = mDurableSequence;
            mOnPersisted.accept(mReportedSequence);
        }
    }

    private void accepted() {
        if (mRefusals > 0) {
            LogLine.info("storage_accepted").with("refusals", mRefusals).write();
            mRefusals = 0;
            mIsRefused = false;
        }
    }

    private void refused(IbisstandException refusal) {
        mRefusals++;
        if (!mIsRefused) {
            mIsRefused = true;
            LogLine.warning("storage_refused")
                    .code(refusal.code())
                    .with("reason", refusal.getMessage())
                    .with("pending_writes", mWriter.size())
                    .write();
        }
        if (!mThread.isShutdown()) {
            mThread.schedule(
                    this::writeAll,
                    mWriter.needsReopen()
                            ? REOPEN_INTERVAL_MILLISECONDS
                            : REPEAT_INTERVAL_MILLISECONDS,
                    TimeUnit.MILLISECONDS);
        }
        mOnRefusal.accept(refusal);
    }
}
