package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Recovers a data folder: reads all files, truncates a torn tail and rejects corrupt files. */
final class LogRecovery {
    private final Disk mDisk;
    private final Deque<Segment> mSegments = new ArrayDeque<>();
    private final List<LogRecord> mRecords = new ArrayList<>();

    LogRecovery(Disk disk) {
        mDisk = disk;
    }

    OpenedLog open(int segmentBytes, RandomGenerator identityGenerator) throws IOException {
        deleteTemporaryFiles();
        Metadata metadata = openMetadata(identityGenerator);
        Optional<StoredSnapshot> snapshot = SnapshotFile.load(mDisk);
        readSegments();
        long snapshotIndex = snapshot.map(StoredSnapshot::index).orElse(0L);
        if (snapshot.isPresent() && !logMatchesSnapshot(snapshot.get())) {
            resetLogAfter(snapshotIndex);
        }
        ensureFirstSegment(snapshotIndex);
        List<LogRecord> laterRecords =
                mRecords.stream().filter(record -> record.index() > snapshotIndex).toList();
        Recovered recovered =
                new Recovered(metadata.identity(), metadata.termAndVote(), snapshot, laterRecords);
        return new OpenedLog(new LogStore(mDisk, segmentBytes, recovered, mSegments), recovered);
    }

    private void deleteTemporaryFiles() throws IOException {
        for (String name : mDisk.list()) {
            if (ChecksummedFile.isTemporary(name)) {
                mDisk.delete(name);
            }
        }
    }

    private Metadata openMetadata(RandomGenerator identityGenerator) throws IOException {
        List<String> names = mDisk.list();
        if (names.contains(Metadata.FILE_NAME)) {
            return Metadata.load(mDisk);
        }
        if (!names.isEmpty()) {
            throw corruptLog(
                    "file " + Metadata.FILE_NAME + " is missing, but the folder contains " + names);
        }
        Metadata metadata =
                new Metadata(identityGenerator.nextLong(1, Long.MAX_VALUE), TermAndVote.NONE);
        metadata.save(mDisk);
        return metadata;
    }

    private void readSegments() throws IOException {
        List<String> names = Segment.listNames(mDisk);
        for (String name : names) {
            Segment segment = Segment.open(mDisk, name);
            if (!mSegments.isEmpty()
                    && segment.firstIndex() != mSegments.getLast().lastIndex() + 1) {
                throw corruptLog("log records are missing before segment " + name);
            }
            mRecords.addAll(segment.recover(name.equals(names.getLast())));
            mSegments.addLast(segment);
        }
    }

    /** Returns whether the log reaches the snapshot and agrees with its term at that index. */
    private boolean logMatchesSnapshot(StoredSnapshot snapshot) {
        if (mSegments.isEmpty() || mSegments.getLast().lastIndex() < snapshot.index()) {
            return false;
        }
        return mRecords.stream()
                .filter(record -> record.index() == snapshot.index())
                .allMatch(record -> record.term() == snapshot.term());
    }

    private void resetLogAfter(long snapshotIndex) throws IOException {
        while (!mSegments.isEmpty()) {
            mSegments.removeLast().delete(mDisk);
            mDisk.syncFolder();
        }
        mRecords.clear();
        mSegments.addLast(Segment.create(mDisk, snapshotIndex + 1));
    }

    private void ensureFirstSegment(long snapshotIndex) throws IOException {
        if (mSegments.isEmpty()) {
            mSegments.addLast(Segment.create(mDisk, snapshotIndex + 1));
        }
        if (mSegments.getFirst().firstIndex() > snapshotIndex + 1) {
            throw corruptLog("log records are missing after index " + snapshotIndex);
        }
    }

    private static IbisstandException corruptLog(String message) {
        return new IbisstandException(ErrorCode.STORAGE_DAMAGED, message);
    }
}
