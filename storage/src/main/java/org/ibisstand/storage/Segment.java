package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** A log file, named after the index of its first record. */
final class Segment {
    private static final String NAME_PREFIX = "log-";
    private static final long SYNC_MARKER_INDEX = 0;

    private final String mName;
    private final long mFirstIndex;
    private final StorageFile mFile;
    private final List<Long> mRecordOffsets = new ArrayList<>();
    private final List<Long> mRecordTerms = new ArrayList<>();
    private long mSize;
    private long mSyncedIndex;
    private byte[] mUnsyncedBytes = new byte[0];

    private Segment(String name, long firstIndex, StorageFile file) {
        mName = name;
        mFirstIndex = firstIndex;
        mFile = file;
        mSyncedIndex = firstIndex - 1;
    }

    /** Creates an empty segment whose directory entry is durable on return. */
    static Segment create(Disk disk, long firstIndex) throws IOException {
        String name = NAME_PREFIX + formatIndex(firstIndex);
        StorageFile file = disk.open(name);
        try {
            disk.syncFolder();
        } catch (IOException e) {
            file.close();
            throw e;
        }
        return new Segment(name, firstIndex, file);
    }

    static Segment open(Disk disk, String name) throws IOException {
        long firstIndex = Long.parseLong(name.substring(NAME_PREFIX.length()));
        return new Segment(name, firstIndex, disk.open(name));
    }

    static String formatIndex(long index) {
        return "%020d".formatted(index);
    }

    static List<String> listNames(Disk disk) throws IOException {
        return disk.list().stream().filter(name -> name.startsWith(NAME_PREFIX)).sorted().toList();
    }

    String name() {
        return mName;
    }

    long firstIndex() {
        return mFirstIndex;
    }

    long lastIndex() {
        return mFirstIndex + mRecordOffsets.size() - 1;
    }

    long termAt(long index) {
        return mRecordTerms.get(Math.toIntExact(index - mFirstIndex));
    }

    /** Returns the last record that was known to be durable when the segment was read. */
    long syncedIndex() {
        return mSyncedIndex;
    }

    long size() {
        return mSize;
    }

    void append(RecordFrame frame) throws IOException {
        mFile.write(mSize, frame.encode());
        trackFrame(frame);
    }

    void sync() throws IOException {
        mFile.sync();
    }

    /**
     * Writes a marker after the last record that confirms it as synced, so that recovery can
     * distinguish corruption of that record from a torn write. The next record overwrites the
     * marker, and nothing waits for the marker to become durable.
     */
    void writeSyncMarker(long syncedIndex) throws IOException {
        LogRecord marker = new LogRecord(SYNC_MARKER_INDEX, 0, new byte[0]);
        mFile.write(mSize, new RecordFrame(marker, syncedIndex).encode());
    }

    /** Removes the sync marker; all segments but the newest must end with their last record. */
    void seal() throws IOException {
        truncateAndSync(mSize);
    }

    /** Removes all records from an index on, durably on return. */
    void truncateFrom(long index) throws IOException {
        int keptRecords = Math.toIntExact(index - mFirstIndex);
        truncateAndSync(mRecordOffsets.get(keptRecords));
        mRecordOffsets.subList(keptRecords, mRecordOffsets.size()).clear();
        mRecordTerms.subList(keptRecords, mRecordTerms.size()).clear();
    }

    /** Writes again the records that were read but not known to be durable, and cuts the rest. */
    void rewriteUnsynced() throws IOException {
        if (mUnsyncedBytes.length > 0) {
            mFile.write(mSize - mUnsyncedBytes.length, mUnsyncedBytes);
        }
        truncateAndSync(mSize);
        mUnsyncedBytes = new byte[0];
    }

    void delete(Disk disk) throws IOException {
        disk.delete(mName);
        mFile.close();
    }

    void close() {
        mFile.close();
    }

    /**
     * Reads all records. Leaves out a torn tail of the newest segment; fails on other corruption.
     *
     * @param isNewest whether this is the last segment of the log
     */
    List<LogRecord> recover(boolean isNewest) throws IOException {
        byte[] content = mFile.readAll();
        List<LogRecord> records = new ArrayList<>();
        Optional<RecordFrame> frame = decodeNext(content);
        while (frame.isPresent()) {
            records.add(frame.get().record());
            mSyncedIndex = Math.max(mSyncedIndex, frame.get().syncedIndex());
            trackFrame(frame.get());
            frame = decodeNext(content);
        }
        if (mSize < content.length) {
            requireTornTail(content, isNewest);
        }
        findUnsynced(content, isNewest);
        return records;
    }

    private Optional<RecordFrame> decodeNext(byte[] content) {
        return RecordFrame.decode(content, Math.toIntExact(mSize))
                .filter(frame -> frame.record().index() == lastIndex() + 1);
    }

    private void findUnsynced(byte[] content, boolean isNewest) {
        int size = Math.toIntExact(mSize);
        long confirmed =
                isNewest
                        ? RecordFrame.decode(content, size)
                                .map(RecordFrame::syncedIndex)
                                .orElse(mSyncedIndex)
                        : lastIndex();
        mSyncedIndex = Math.min(lastIndex(), Math.max(mSyncedIndex, confirmed));
        int unsynced = Math.toIntExact(mSyncedIndex + 1 - mFirstIndex);
        if (unsynced < mRecordOffsets.size()) {
            int start = Math.toIntExact(mRecordOffsets.get(unsynced));
            mUnsyncedBytes = Arrays.copyOfRange(content, start, size);
        }
    }

    private void trackFrame(RecordFrame frame) {
        mRecordOffsets.add(mSize);
        mRecordTerms.add(frame.record().term());
        mSize += frame.size();
    }

    private void truncateAndSync(long size) throws IOException {
        mFile.truncate(size);
        mFile.sync();
        mSize = size;
    }

    private void requireTornTail(byte[] content, boolean isNewest) {
        long lostIndex = lastIndex() + 1;
        if (!isNewest || laterFrameConfirmsSync(content, lostIndex)) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_DAMAGED,
                    "record " + lostIndex + " in " + mName + " is corrupt, although it was synced");
        }
    }

    private boolean laterFrameConfirmsSync(byte[] content, long lostIndex) {
        int start = Math.toIntExact(mSize);
        for (int position = start; position < content.length; position++) {
            Optional<RecordFrame> frame = RecordFrame.decode(content, position);
            if (frame.isPresent() && frame.get().syncedIndex() >= lostIndex) {
                return true;
            }
        }
        return false;
    }
}
