package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * The durable log of a consensus member, with its snapshot, term and vote.
 *
 * <p>Appended records are durable only after {@link #sync}; all other changes are durable on
 * return. An operation that the disk refuses, for instance as it is full, may be repeated until it
 * succeeds: it has changed nothing that was synced, and repeats the part that it had done. After a
 * failed sync the store rejects all later operations, because the system may have dropped what it
 * could not write, and a second sync would succeed without it; the content of the disk is then
 * unknown until the store is reopened and reads all files again. Not safe for concurrent use.
 */
public final class LogStore implements AutoCloseable {
    private final Disk mDisk;
    private final int mSegmentBytes;
    private final long mIdentity;
    private final Deque<Segment> mSegments;
    private TermAndVote mTermAndVote;
    private long mSyncedIndex;
    private boolean mAppendRefused;
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
     * Opens a data folder, or initializes an empty one with a new identity.
     *
     * @param disk the data folder, closed with the store
     * @param segmentBytes the size in bytes at which a new segment is started
     * @param identityGenerator generates the identity of a new data folder
     * @throws IbisstandException STORAGE_DAMAGED if synced content is corrupt, STORAGE_FAILED if
     *     the disk fails
     */
    public static OpenedLog open(Disk disk, int segmentBytes, RandomGenerator identityGenerator) {
        try {
            return new LogRecovery(disk).open(segmentBytes, identityGenerator);
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.STORAGE_FAILED, "cannot open the log", e);
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
     * Saves the term and vote, durable on return.
     *
     * @param termAndVote the term and vote to save
     * @throws IbisstandException STORAGE_REFUSED if the disk refuses it, STORAGE_FAILED if this or
     *     an earlier sync failed
     */
    public void saveTermAndVote(TermAndVote termAndVote) {
        runDiskOperation(() -> new Metadata(mIdentity, termAndVote).save(mDisk));
        mTermAndVote = termAndVote;
    }

    /**
     * Appends records to the log; they are durable after the next {@link #sync}. Skips the records
     * that an attempt that was refused has appended already.
     *
     * @param records the records, in index order without gaps
     * @throws IbisstandException STORAGE_REFUSED if the disk refuses it, STORAGE_FAILED if this or
     *     an earlier sync failed
     */
    public void append(List<LogRecord> records) {
        runDiskOperation(() -> appendRecords(records));
    }

    /**
     * Removes all records from an index on, durably on return.
     *
     * @param index the index of the first record to remove, after the snapshot
     * @throws IbisstandException STORAGE_REFUSED if the disk refuses it, STORAGE_FAILED if this or
     *     an earlier sync failed
     */
    public void truncateFrom(long index) {
        runDiskOperation(() -> truncateSegments(index));
    }

    /**
     * Makes all appended records durable with a single sync.
     *
     * @throws IbisstandException STORAGE_REFUSED if the disk refuses it, STORAGE_FAILED if this or
     *     an earlier sync failed
     */
    public void sync() {
        runDiskOperation(this::syncNewestSegment);
    }

    /**
     * Saves a snapshot and deletes the segments that it covers. Keeps the records after the
     * snapshot only if the log matches it.
     *
     * @param snapshot the snapshot, which replaces all records up to its index
     * @param logMatchesSnapshot whether this log contains the record at the snapshot's index
     * @throws IbisstandException STORAGE_REFUSED if the disk refuses it, STORAGE_FAILED if this or
     *     an earlier sync failed
     */
    public void saveSnapshot(StoredSnapshot snapshot, boolean logMatchesSnapshot) {
        runDiskOperation(
                () -> {
                    syncNewestSegment();
                    SnapshotFile.save(mDisk, snapshot);
                    if (logMatchesSnapshot) {
                        deleteCoveredSegments(snapshot.index());
                    } else {
                        resetLogAfter(snapshot.index());
                    }
                });
    }

    @Override
    public void close() {
        mSegments.forEach(Segment::close);
        mDisk.close();
    }

    private void appendRecords(List<LogRecord> records) throws IOException {
        boolean isRepeated = mAppendRefused;
        mAppendRefused = true;
        for (LogRecord record : records) {
            if (isRepeated && record.index() <= lastIndex()) {
                continue;
            }
            if (record.index() != lastIndex() + 1) {
                throw new IllegalArgumentException(
                        "record " + record.index() + " cannot be appended after " + lastIndex());
            }
            if (mSegments.getLast().size() >= mSegmentBytes) {
                sealNewestSegment();
                mSegments.addLast(Segment.create(mDisk, record.index()));
            }
            mSegments.getLast().append(new RecordFrame(record, mSyncedIndex));
        }
        mAppendRefused = false;
    }

    private void truncateSegments(long index) throws IOException {
        while (mSegments.size() > 1 && mSegments.getLast().firstIndex() >= index) {
            deleteLastSegment();
        }
        if (index <= lastIndex()) {
            mSegments.getLast().truncateFrom(index);
        }
        mSyncedIndex = Math.min(mSyncedIndex, lastIndex());
    }

    private void syncNewestSegment() throws IOException {
        if (mSegments.isEmpty()) {
            return; // a reset was refused after it had deleted all segments
        }
        mSegments.getLast().sync();
        mSyncedIndex = lastIndex();
        mSegments.getLast().writeSyncMarker(mSyncedIndex);
    }

    private void sealNewestSegment() throws IOException {
        mSegments.getLast().sync();
        mSyncedIndex = lastIndex();
        mSegments.getLast().seal();
    }

    private void deleteCoveredSegments(long snapshotIndex) throws IOException {
        while (mSegments.size() > 1 && mSegments.getFirst().lastIndex() <= snapshotIndex) {
            mSegments.getFirst().delete(mDisk);
            mSegments.removeFirst();
            mDisk.syncFolder();
        }
    }

    private void resetLogAfter(long snapshotIndex) throws IOException {
        while (!mSegments.isEmpty()) {
            deleteLastSegment();
        }
        mSegments.addLast(Segment.create(mDisk, snapshotIndex + 1));
        mSyncedIndex = snapshotIndex;
    }

    private void deleteLastSegment() throws IOException {
        mSegments.getLast().delete(mDisk);
        mSegments.removeLast();
        mDisk.syncFolder();
    }

    private void runDiskOperation(DiskOperation operation) {
        if (mFailed) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED,
                    "log store is unusable because an earlier sync failed");
        }
        try {
            operation.run();
        } catch (SyncFailedException e) {
            mFailed = true;
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()), e);
        } catch (IOException e) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_REFUSED, String.valueOf(e.getMessage()), e);
        }
    }

    /** An operation that may fail with a disk error. */
    private interface DiskOperation {
        void run() throws IOException;
    }
}
