package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads a data folder without changing it, leaves out a torn tail and rejects corrupt files. */
final class LogRecovery {
    private final Disk mDisk;
    private final Deque<Segment> mSegments = new ArrayDeque<>();
    private final List<LogRecord> mRecords = new ArrayList<>();

    LogRecovery(Disk disk) {
        mDisk = disk;
    }

    /**
     * Reads all files.
     *
     * @param newIdentity the identity if the folder is empty
     */
    StoredFiles read(LongSupplier newIdentity) throws IOException {
        try {
            return readAll(newIdentity);
        } catch (IOException | IbisstandException e) {
            mSegments.forEach(Segment::close);
            throw e;
        }
    }

    private StoredFiles readAll(LongSupplier newIdentity) throws IOException {
        Metadata metadata = readMetadata(newIdentity);
        Optional<StoredSnapshot> snapshot = SnapshotFile.load(mDisk);
        readSegments();
        long snapshotIndex = snapshot.map(StoredSnapshot::index).orElse(0L);
        boolean isReset = mSegments.isEmpty() || !snapshot.map(this::matchesLog).orElse(true);
        if (!isReset && mSegments.getFirst().firstIndex() > snapshotIndex + 1) {
            throw corruptLog("log records are missing after index " + snapshotIndex);
        }
        List<LogRecord> laterRecords =
                mRecords.stream()
                        .filter(record -> !isReset && record.index() > snapshotIndex)
                        .toList();
        Recovered recovered =
                new Recovered(metadata.identity(), metadata.termAndVote(), snapshot, laterRecords);
        return new StoredFiles(
                recovered,
                mSegments,
                isReset ? snapshotIndex : mSegments.getLast().syncedIndex(),
                isReset ? OptionalLong.of(snapshotIndex) : OptionalLong.empty());
    }

    private Metadata readMetadata(LongSupplier newIdentity) throws IOException {
        List<String> names =
                mDisk.list().stream().filter(name -> !ChecksummedFile.isTemporary(name)).toList();
        if (names.contains(Metadata.FILE_NAME)) {
            return Metadata.load(mDisk);
        }
        if (!names.isEmpty()) {
            throw corruptLog(
                    "file " + Metadata.FILE_NAME + " is missing, but the folder contains " + names);
        }
        return new Metadata(newIdentity.getAsLong(), TermAndVote.NONE);
    }

    private void readSegments() throws IOException {
        List<String> names = Segment.listNames(mDisk);
        for (String name : names) {
            Segment segment = Segment.open(mDisk, name);
            long expectedIndex = mSegments.isEmpty() ? segment.firstIndex() : nextIndex();
            mSegments.addLast(segment);
            if (segment.firstIndex() != expectedIndex) {
                throw corruptLog("log records are missing before segment " + name);
            }
            mRecords.addAll(segment.recover(name.equals(names.getLast())));
        }
    }

    private long nextIndex() {
        return mSegments.getLast().lastIndex() + 1;
    }

    /** Returns whether the log reaches the snapshot and agrees with its term at that index. */
    private boolean matchesLog(StoredSnapshot snapshot) {
        if (mSegments.getLast().lastIndex() < snapshot.index()) {
            return false;
        }
        return mRecords.stream()
                .filter(record -> record.index() == snapshot.index())
                .allMatch(record -> record.term() == snapshot.term());
    }

    private static IbisstandException corruptLog(String message) {
        return new IbisstandException(ErrorCode.STORAGE_DAMAGED, message);
    }
}
