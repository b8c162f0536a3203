package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/**
 * The durable log of a consensus member, with its snapshot, term and vote.
 *
 * <p>Opening the store only reads. The first operation after it makes durable what was read, since
 * a process that was killed may have written it without a sync; until then nothing may be promised
 * that rests on it.
 *
 * <p>Appended records are durable only after {@link #sync}; all other changes are durable on
 * return. An operation that the disk refuses, for instance as it is full, may be repeated until it
 * succeeds: it has changed nothing that was synced, and repeats the part that it had done. After a
 * failed sync the store rejects all later operations, because the system may have dropped what it
 * could not write, and a second sync would succeed without it. {@link #reopen} reads all files
 * again; then all operations since the last successful {@link #sync} must be repeated. Not safe for
 * concurrent use.
 */
public final class LogStore implements AutoCloseable {
    private final Disk mDisk;
    private final int mSegmentBytes;
    private final long mIdentity;
    private final Deque<Segment> mSegments = new ArrayDeque<>();
    private TermAndVote mTermAndVote;
    private OptionalLong mResetIndex;
    private long mSnapshotIndex;
    private long mSyncedIndex;
    private long mOpenedIndex;
    private boolean mNeedsRepair;
    private boolean mMayRepeat;
    private boolean mFailed;

    private LogStore(Disk disk, int segmentBytes, StoredFiles files) {
        mDisk = disk;
        mSegmentBytes = segmentBytes;
        mIdentity = files.recovered().identity();
        use(files);
        mOpenedIndex = lastIndex();
    }

    /**
     * Reads a data folder; an empty one gets a new identity.
     *
     * @param disk the data folder, closed with the store
     * @param segmentBytes the size in bytes at which a new segment is started
     * @param identityGenerator generates the identity of a new data folder
     * @throws IbisstandException STORAGE_DAMAGED if synced content is corrupt, STORAGE_FAILED if
     *     the disk fails
     */
    public static OpenedLog open(Disk disk, int segmentBytes, RandomGenerator identityGenerator) {
        try {
            StoredFiles files =
                    new LogRecovery(disk).read(() -> identityGenerator.nextLong(1, Long.MAX_VALUE));
            return new OpenedLog(new LogStore(disk, segmentBytes, files), files.recovered());
        } catch (IOException e) {
            throw new IbisstandException(ErrorCode.STORAGE_FAILED, "cannot open the log", e);
        }
    }

    /**
     * Reads all files again after a failed operation.
     *
     * @throws IbisstandException STORAGE_DAMAGED if synced content is lost or corrupt, or what was
     *     read as the store was opened, which the owner may hold for durable; STORAGE_REFUSED if
     *     the files cannot be read now
     */
    public void reopen() {
        mFailed = true;
        closeSegments();
        StoredFiles files;
        try {
            files = new LogRecovery(mDisk).read(() -> mIdentity);
        } catch (IOException e) {
            throw refused(e);
        }
        boolean isComplete =
                files.recovered().identity() == mIdentity
                        && files.recovered().termAndVote().term() >= mTermAndVote.term()
                        && files.lastIndex() >= Math.max(mSyncedIndex, mOpenedIndex);
        if (!isComplete) {
            files.segments().forEach(Segment::close);
            throw new IbisstandException(
                    ErrorCode.STORAGE_DAMAGED,
                    "content is gone: record "
                            + Math.max(mSyncedIndex, mOpenedIndex)
                            + " or "
                            + mTermAndVote);
        }
        use(files);
        mMayRepeat = true;
        mFailed = false;
    }

    /** Returns the index of the last record, or of the snapshot if no record follows it. */
    public long lastIndex() {
        return mResetIndex.orElseGet(() -> mSegments.getLast().lastIndex());
    }

    /** Returns the newest term and vote, durable unless the store was only opened. */
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
        runDiskOperation(() -> replaceTermAndVote(termAndVote));
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
        mMayRepeat = false;
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
        runDiskOperation(() -> replaceSnapshot(snapshot, logMatchesSnapshot));
    }

    @Override
    public void close() {
        closeSegments();
        mDisk.close();
    }

    private void use(StoredFiles files) {
        mSegments.clear();
        mSegments.addAll(files.segments());
        mTermAndVote = files.recovered().termAndVote();
        mResetIndex = files.resetIndex();
        mSnapshotIndex = files.recovered().snapshot().map(StoredSnapshot::index).orElse(0L);
        mSyncedIndex = files.syncedIndex();
        mNeedsRepair = true;
    }

    /** Makes durable what was read. Writes it again, since a failed sync may have dropped it. */
    private void repair() throws IOException {
        for (String name : mDisk.list()) {
            if (ChecksummedFile.isTemporary(name)) {
                mDisk.delete(name);
            }
        }
        new Metadata(mIdentity, mTermAndVote).save(mDisk);
        resetIfDue();
        mSegments.getLast().rewriteUnsynced();
        syncNewestSegment();
        mNeedsRepair = false;
        mOpenedIndex = 0;
    }

    private void replaceTermAndVote(TermAndVote termAndVote) throws IOException {
        if (termAndVote.term() < mTermAndVote.term()) {
            return; // repeated, and a newer one was saved before
        }
        new Metadata(mIdentity, termAndVote).save(mDisk);
        mTermAndVote = termAndVote;
    }

    private void replaceSnapshot(StoredSnapshot snapshot, boolean logMatchesSnapshot)
            throws IOException {
        if (snapshot.index() < mSnapshotIndex) {
            return; // repeated, and a newer one was saved before
        }
        if (logMatchesSnapshot) {
            syncNewestSegment();
        } else {
            mSyncedIndex = Math.min(mSyncedIndex, snapshot.index());
        }
        SnapshotFile.save(mDisk, snapshot);
        mSnapshotIndex = snapshot.index();
        if (logMatchesSnapshot) {
            deleteCoveredSegments(snapshot.index());
        } else {
            mResetIndex = OptionalLong.of(snapshot.index());
            resetIfDue();
        }
    }

    private void appendRecords(List<LogRecord> records) throws IOException {
        for (LogRecord record : records) {
            if (record.index() <= lastIndex() && mMayRepeat) {
                if (isStored(record)) {
                    continue;
                }
                truncateSegments(record.index());
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
    }

    /** Returns whether the log holds the record, or a snapshot that covers it. */
    private boolean isStored(LogRecord record) {
        return mSegments.stream()
                .filter(segment -> segment.firstIndex() <= record.index())
                .reduce((earlier, later) -> later)
                .map(segment -> segment.termAt(record.index()) == record.term())
                .orElse(true);
    }

    private void truncateSegments(long index) throws IOException {
        mSyncedIndex = Math.min(mSyncedIndex, index - 1);
        while (mSegments.size() > 1 && mSegments.getLast().firstIndex() >= index) {
            deleteLastSegment();
        }
        long first = Math.max(index, mSegments.getLast().firstIndex());
        if (first <= lastIndex()) {
            mSegments.getLast().truncateFrom(first);
        }
    }

    private void syncNewestSegment() throws IOException {
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

    /** Deletes a log that does not match the snapshot. */
    private void resetIfDue() throws IOException {
        if (mResetIndex.isEmpty()) {
            return;
        }
        long index = mResetIndex.getAsLong();
        while (!mSegments.isEmpty()) {
            deleteLastSegment();
        }
        mSegments.addLast(Segment.create(mDisk, index + 1));
        mSyncedIndex = index;
        mResetIndex = OptionalLong.empty();
    }

    private void deleteLastSegment() throws IOException {
        mSegments.getLast().delete(mDisk);
        mSegments.removeLast();
        mDisk.syncFolder();
    }

    private void closeSegments() {
        while (!mSegments.isEmpty()) {
            mSegments.removeLast().close();
        }
    }

    private void runDiskOperation(DiskOperation operation) {
        if (mFailed) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED,
                    "log store is unusable because an earlier sync failed");
        }
        try {
            if (mNeedsRepair) {
                repair();
            }
            operation.run();
        } catch (SyncFailedException e) {
            mFailed = true;
            throw new IbisstandException(
                    ErrorCode.STORAGE_FAILED, String.valueOf(e.getMessage()), e);
        } catch (IOException e) {
            mMayRepeat = true;
            throw refused(e);
        }
    }

    private static IbisstandException refused(IOException cause) {
        return new IbisstandException(
                ErrorCode.STORAGE_REFUSED, String.valueOf(cause.getMessage()), cause);
    }

    /** An operation that may fail with a disk error. */
    private interface DiskOperation {
        void run() throws IOException;
    }
}
