package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Loads and saves the snapshot of a data folder. */
final class SnapshotFile {
    private static final String NAME_PREFIX = "snapshot-";
    private static final int HEADER_BYTES = 16;

    private SnapshotFile() {}

    static void save(Disk disk, StoredSnapshot snapshot) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(snapshot.index());
        header.putLong(snapshot.term());
        String name = NAME_PREFIX + Segment.formatIndex(snapshot.index());
        ChecksummedFile.replace(disk, name, header.array(), snapshot.payload());
        for (String other : listNames(disk)) {
            if (!other.equals(name)) {
                disk.delete(other);
            }
        }
    }

    /** Loads the latest snapshot; fails if it is corrupt, and never falls back to an older one. */
    static Optional<StoredSnapshot> load(Disk disk) throws IOException {
        Optional<String> newest = listNames(disk).stream().max(Comparator.naturalOrder());
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(ChecksummedFile.read(disk, newest.get()));
        long index = buffer.getLong();
        long term = buffer.getLong();
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        return Optional.of(new StoredSnapshot(index, term, payload));
    }

    static List<String> listNames(Disk disk) throws IOException {
        return disk.list().stream()
                .filter(name -> name.startsWith(NAME_PREFIX) && !ChecksummedFile.isTemporary(name))
                .toList();
    }
}
