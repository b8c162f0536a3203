package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * The durable log of one member, with its snapshot, term and vote.
 *
 * <p>Appended records count only after {@link #sync}; everything else is durable on return. After
 * the first failed disk operation the store refuses all others, since what the disk then holds is
 * unknown; only opening it again, which reads everything back, can tell. Calls come from one thread
 * at a time.
 */
public final class LogStore implements AutoCloseable {
    private final Disk mDisk;
    private final int mSegmentBytes;
    private final long mIdentity;
    private final Deque<Segment> mSegments;
    private TermAndVote mTermAndVote;
    private long mSyncedIndex;
    private boolean mFailed;

    LogStore(Disk disk, int segmentBytes, Recovered recovered, Deque<Segment> segments) {
        mDisk = disk;
        mSegmentBytes = segmentBytes;
        mIdentity = recovered.identity();
        mTermAndVote = recovered.termAndVote();
        mSegments = new ArrayDeque<>(segments);
        mSyncedIndex = lastIndex();
    }

    /**
     * Opens a data folder, or starts a new one with a new identity.
     *
     * @param disk the folder, which the store closes
     * @param segmentBytes the size at which a new log file is begun
     * @param identities draws the identity of a new data folder
     * @throws IbisstandException STORAGE_DAMAGED if synced content is damaged, STORAGE_FAILED if
     *     the disk fails
     */
    public static OpenedLog open(Disk disk, int segmentBytes, RandomGenerator identities) {
        try {
            return new LogRecovery(disk).open(segmentBytes, identities);
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.STORAGE_FAILED, "the log cannot be opened", e);
        }
    }

    /** Returns the index of the last record, or of the snapshot if no record follows it. */
    public long lastIndex() {
        return mSegments.getLast().lastIndex();
    }

    /** Returns the newest durable term and vote. */
    public TermAndVote termAndVote() {
        return mTermAndVote;
    }

    /**
     * Saves term and vote; they are durable on return.
     *
     * @param termAndVote what to save
     * @throws IbisstandException STORAGE_FAILED if the disk failed now or before
     */
    public void saveTermAndVote(TermAndVote termAndVote) {
        guard(() -> new Metadata(mIdentity, termAndVote).save(mDisk));
        mTermAndVote = termAndVote;
    }

    /**
     * Appends records after the last one; they are durable after the next {@link #sync}.
     *
     * @param records in order of their indexes, without a gap
     * @throws IbisstandException STORAGE_FAILED if the disk failed now or before
     */
    public void append(List<LogRecord> records) {
        guard(() -> appendAll(records));
    }

    /**
     * Cuts all records from an index on; the cut is durable on return.
     *
     * @param index the first record to remove, after the snapshot
     * @throws IbisstandException STORAGE_FAILED if the disk failed now or before
     */
    public void truncateFrom(long index) {
        guard(() -> truncate(index));
    }

    /**
     * Makes all appended records durable, with one sync for all of them.
     *
     * @throws IbisstandException STORAGE_FAILED if the disk failed now or before
     */
    public void sync() {
        guard(this::syncNewest);
    }

    /**
     * Saves a snapshot, and drops the segments that it covers. Records after the snapshot stay only
     * if they continue it.
     *
     * @param snapshot stands for all records up to its index
     * @param continues whether the record at the snapshot's index is in this log
     * @throws IbisstandException STORAGE_FAILED if the disk failed now or before
     */
    public void saveSnapshot(StoredSnapshot snapshot, boolean continues) {
        guard(
                () -> {
                    syncNewest();
                    SnapshotFile.save(mDisk, snapshot);
                    if (continues) {
                        dropCovered(snapshot.index());
                    } else {
                        restartAfter(snapshot.index());
                    }
                });
    }

    @Override
    public void close() {
        mSegments.forEach(Segment::close);
        mDisk.close();
    }

    private void appendAll(List<LogRecord> records) throws IOException {
        for (LogRecord record : records) {
            if (record.index() != lastIndex() + 1) {
                throw new IllegalArgumentException(
                        "record " + record.index() + " cannot follow " + lastIndex());
            }
            if (mSegments.getLast().size() >= mSegmentBytes) {
                seal();
                mSegments.addLast(Segment.create(mDisk, record.index()));
            }
            mSegments.getLast().append(new RecordFrame(record, mSyncedIndex));
        }
    }

    private void truncate(long index) throws IOException {
        while (mSegments.size() > 1 && mSegments.getLast().firstIndex() >= index) {
            mSegments.removeLast().delete(mDisk);
            mDisk.syncFolder();
        }
        if (index <= lastIndex()) {
            mSegments.getLast().truncateFrom(index);
        }
        mSyncedIndex = Math.min(mSyncedIndex, lastIndex());
    }

    private void syncNewest() throws IOException {
        mSegments.getLast().sync();
        mSyncedIndex = lastIndex();
        mSegments.getLast().mark(mSyncedIndex);
    }

    private void seal() throws IOException {
        mSegments.getLast().sync();
        mSyncedIndex = lastIndex();
        mSegments.getLast().seal();
    }

    private void dropCovered(long index) throws IOException {
        while (mSegments.size() > 1 && mSegments.getFirst().lastIndex() <= index) {
            mSegments.removeFirst().delete(mDisk);
            mDisk.syncFolder();
        }
    }

    private void restartAfter(long index) throws IOException {
        while (!mSegments.isEmpty()) {
            mSegments.removeLast().delete(mDisk);
            mDisk.syncFolder();
        }
        mSegments.addLast(Segment.create(mDisk, index + 1));
        mSyncedIndex = index;
    }

    private void guard(DiskOperation operation) {
        if (mFailed) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED, "an earlier disk operation failed");
        }
        try {
            operation.run();
        } catch (IOException e) {
            mFailed = true;
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()), e);
        }
    }

    /** A step that may fail at the disk. */
    private interface DiskOperation {
        void run() throws IOException;
    }
}
