package org.ibisstand.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.storage.LogStore;

/**
 * Writes the outputs of a member to its log in order, and repeats those that failed. Keeps each
 * output until a sync has made it durable: after a failed sync the store reads its files again, and
 * all outputs kept are written again. Not safe for concurrent use.
 */
public final class LogWriter implements AutoCloseable {
    private final LogStore mStore;
    private final Deque<Output.Persist> mPending = new ArrayDeque<>();
    private final List<Output.Persist> mWritten = new ArrayList<>();
    private boolean mNeedsReopen;
    private boolean mNeedsSync = true;
    private long mWrittenSequence;

    /**
     * Creates a writer.
     *
     * @param store the store, which only this writer may use from now on
     */
    public LogWriter(LogStore store) {
        mStore = store;
    }

    /** Adds an output to write. */
    public void add(Output.Persist persist) {
        mPending.addLast(persist);
    }

    /** Returns the number of outputs that are not known to be durable. */
    public int size() {
        return mPending.size() + mWritten.size();
    }

    /** Returns whether the next attempt reads all files again. */
    public boolean needsReopen() {
        return mNeedsReopen;
    }

    /**
     * Writes all outputs added; call it again after a failure.
     *
     * @throws IbisstandException STORAGE_REFUSED or STORAGE_FAILED if the disk refuses a write or a
     *     sync, STORAGE_DAMAGED if synced content is lost
     */
    public void write() {
        run(this::writePending);
    }

    /**
     * Makes everything written durable, and what the store held when it was opened.
     *
     * @return the sequence up to which all outputs are durable
     * @throws IbisstandException as {@link #write}
     */
    public long sync() {
        run(this::syncIfNeeded);
        mWritten.clear();
        return mWrittenSequence;
    }

    @Override
    public void close() {
        mStore.close();
    }

    private void run(Runnable operation) {
        boolean isRepeated = mNeedsReopen;
        if (isRepeated) {
            mStore.reopen();
            repeatWritten();
        }
        mNeedsReopen = true; // unless the operation ends in a known state
        try {
            if (isRepeated) {
                writePending();
            }
            operation.run();
            mNeedsReopen = false;
        } catch (IbisstandException e) {
            mNeedsReopen = e.code() != ErrorCode.STORAGE_REFUSED;
            throw e;
        }
    }

    private void writePending() {
        while (!mPending.isEmpty()) {
            Output.Persist next = mPending.getFirst();
            next.writeTo(mStore);
            mWrittenSequence = next.sequence();
            mNeedsSync |= !next.records().isEmpty();
            mWritten.add(mPending.removeFirst());
        }
    }

    private void syncIfNeeded() {
        if (mNeedsSync) {
            mStore.sync();
            mNeedsSync = false;
        }
    }

    /**
     * Puts the outputs that are not known to be durable before the pending ones, without the
     * records that a later one removes: the disk may hold the later one already, and writing them
     * again would mix two logs.
     */
    private void repeatWritten() {
        mNeedsSync = true;
        mWritten.addAll(mPending);
        mPending.clear();
        boolean isReplaced = false;
        long removedFrom = Long.MAX_VALUE;
        for (Output.Persist output : mWritten.reversed()) {
            mPending.addFirst(
                    isReplaced ? output.withoutLog() : output.withoutRecordsFrom(removedFrom));
            isReplaced |= output.replacesLog();
            removedFrom = Math.min(removedFrom, output.truncateFrom().orElse(Long.MAX_VALUE));
        }
        mWritten.clear();
    }
}
