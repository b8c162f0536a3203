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

/** Opens a data folder: reads everything back, cuts a torn tail, and refuses damage. */
final class LogRecovery {
    private final Disk mDisk;
    private final Deque<Segment> mSegments = new ArrayDeque<>();
    private final List<LogRecord> mRecords = new ArrayList<>();

    LogRecovery(Disk disk) {
        mDisk = disk;
    }

    OpenedLog open(int segmentBytes, RandomGenerator identities) throws IOException {
        deleteTemporaryFiles();
        Metadata metadata = openMetadata(identities);
        Optional<StoredSnapshot> snapshot = SnapshotFile.load(mDisk);
        readSegments();
        long snapshotIndex = snapshot.map(StoredSnapshot::index).orElse(0L);
        if (snapshot.isPresent() && !continues(snapshot.get())) {
            restartAfter(snapshotIndex);
        }
        openFirstSegment(snapshotIndex);
        List<LogRecord> tail =
                mRecords.stream().filter(record -> record.index() > snapshotIndex).toList();
        Recovered recovered =
                new Recovered(metadata.identity(), metadata.termAndVote(), snapshot, tail);
        return new OpenedLog(new LogStore(mDisk, segmentBytes, recovered, mSegments), recovered);
    }

    private void deleteTemporaryFiles() throws IOException {
        for (String name : mDisk.list()) {
            if (CheckedFile.isTemporary(name)) {
                mDisk.delete(name);
            }
        }
    }

    private Metadata openMetadata(RandomGenerator identities) throws IOException {
        List<String> names = mDisk.list();
        if (names.contains(Metadata.FILE)) {
            return Metadata.load(mDisk);
        }
        if (!names.isEmpty()) {
            throw damaged("the file " + Metadata.FILE + " is missing beside " + names);
        }
        Metadata metadata = new Metadata(identities.nextLong(1, Long.MAX_VALUE), TermAndVote.NONE);
        metadata.save(mDisk);
        return metadata;
    }

    private void readSegments() throws IOException {
        List<String> names = Segment.names(mDisk);
        for (String name : names) {
            Segment segment = Segment.open(mDisk, name);
            if (!mSegments.isEmpty()
                    && segment.firstIndex() != mSegments.getLast().lastIndex() + 1) {
                throw damaged("records are missing before " + name);
            }
            mRecords.addAll(segment.recover(name.equals(names.getLast())));
            mSegments.addLast(segment);
        }
    }

    /** Returns whether the records after the snapshot belong to the same history. */
    private boolean continues(StoredSnapshot snapshot) {
        if (mSegments.isEmpty() || mSegments.getLast().lastIndex() < snapshot.index()) {
            return false;
        }
        return mRecords.stream()
                .filter(record -> record.index() == snapshot.index())
                .allMatch(record -> record.term() == snapshot.term());
    }

    private void restartAfter(long snapshotIndex) throws IOException {
        while (!mSegments.isEmpty()) {
            mSegments.removeLast().delete(mDisk);
            mDisk.syncFolder();
        }
        mRecords.clear();
        mSegments.addLast(Segment.create(mDisk, snapshotIndex + 1));
    }

    private void openFirstSegment(long snapshotIndex) throws IOException {
        if (mSegments.isEmpty()) {
            mSegments.addLast(Segment.create(mDisk, snapshotIndex + 1));
        }
        if (mSegments.getFirst().firstIndex() > snapshotIndex + 1) {
            throw damaged("records are missing after " + snapshotIndex);
        }
    }

    private static IbisstandException damaged(String message) {
        return new IbisstandException(ErrorCode.STORAGE_DAMAGED, message);
    }
}
