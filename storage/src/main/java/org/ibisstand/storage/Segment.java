package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** One file of the log; its name carries the index of its first record. */
final class Segment {
    private static final String PREFIX = "log-";
    private static final long MARK_INDEX = 0;

    private final String mName;
    private final long mFirstIndex;
    private final StorageFile mFile;
    private final List<Long> mPositions = new ArrayList<>();
    private long mSize;

    private Segment(String name, long firstIndex, StorageFile file) {
        mName = name;
        mFirstIndex = firstIndex;
        mFile = file;
    }

    /** Creates an empty file whose name is durable on return. */
    static Segment create(Disk disk, long firstIndex) throws IOException {
        String name = PREFIX + formatted(firstIndex);
        StorageFile file = disk.open(name);
        disk.syncFolder();
        return new Segment(name, firstIndex, file);
    }

    static Segment open(Disk disk, String name) throws IOException {
        long firstIndex = Long.parseLong(name.substring(PREFIX.length()));
        return new Segment(name, firstIndex, disk.open(name));
    }

    static String formatted(long index) {
        return "%020d".formatted(index);
    }

    static List<String> names(Disk disk) throws IOException {
        return disk.list().stream().filter(name -> name.startsWith(PREFIX)).sorted().toList();
    }

    String name() {
        return mName;
    }

    long firstIndex() {
        return mFirstIndex;
    }

    long lastIndex() {
        return mFirstIndex + mPositions.size() - 1;
    }

    long size() {
        return mSize;
    }

    void append(RecordFrame frame) throws IOException {
        mFile.write(mSize, frame.encode());
        accept(frame);
    }

    void sync() throws IOException {
        mFile.sync();
    }

    /**
     * Writes after the last record that it is durable, so that damage to it is told from a torn
     * write. The next record overwrites the mark, and nothing waits for the mark to be durable.
     */
    void mark(long syncedIndex) throws IOException {
        LogRecord mark = new LogRecord(MARK_INDEX, 0, new byte[0]);
        mFile.write(mSize, new RecordFrame(mark, syncedIndex).encode());
    }

    /** Removes the mark; a segment that is not the newest must end with its last record. */
    void seal() throws IOException {
        cut(mSize);
    }

    /** Cuts all records from an index on; the cut is durable on return. */
    void truncateFrom(long index) throws IOException {
        int kept = Math.toIntExact(index - mFirstIndex);
        cut(mPositions.get(kept));
        mPositions.subList(kept, mPositions.size()).clear();
    }

    void delete(Disk disk) throws IOException {
        mFile.close();
        disk.delete(mName);
    }

    void close() {
        mFile.close();
    }

    /**
     * Reads all records. A torn tail of the newest segment is cut; any other damage is an error.
     *
     * @param newest whether no later segment exists
     */
    List<LogRecord> recover(boolean newest) throws IOException {
        byte[] content = mFile.readAll();
        List<LogRecord> records = new ArrayList<>();
        Optional<RecordFrame> frame = next(content);
        while (frame.isPresent()) {
            records.add(frame.get().record());
            accept(frame.get());
            frame = next(content);
        }
        if (mSize < content.length) {
            checkTorn(content, newest);
            cut(mSize);
        }
        return records;
    }

    private Optional<RecordFrame> next(byte[] content) {
        return RecordFrame.decode(content, Math.toIntExact(mSize))
                .filter(frame -> frame.record().index() == lastIndex() + 1);
    }

    private void accept(RecordFrame frame) {
        mPositions.add(mSize);
        mSize += frame.size();
    }

    private void cut(long size) throws IOException {
        mFile.truncate(size);
        mFile.sync();
        mSize = size;
    }

    private void checkTorn(byte[] content, boolean newest) {
        long lost = lastIndex() + 1;
        if (!newest || laterFrameClaims(content, lost)) {
            throw new IbisstandException(
                    ErrorCode.STORAGE_DAMAGED,
                    "record " + lost + " in " + mName + " was synced and is damaged");
        }
    }

    private boolean laterFrameClaims(byte[] content, long lost) {
        int start = Math.toIntExact(mSize);
        for (int position = start; position < content.length; position++) {
            Optional<RecordFrame> frame = RecordFrame.decode(content, position);
            if (frame.isPresent() && frame.get().syncedIndex() >= lost) {
                return true;
            }
        }
        return false;
    }
}
