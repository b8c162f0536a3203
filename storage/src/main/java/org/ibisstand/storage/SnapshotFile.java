package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Reads and replaces the snapshot in a data folder. */
final class SnapshotFile {
    private static final String PREFIX = "snapshot-";
    private static final int HEADER_BYTES = 16;

    private SnapshotFile() {}

    static void save(Disk disk, StoredSnapshot snapshot) throws IOException {
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putLong(snapshot.index());
        header.putLong(snapshot.term());
        String name = PREFIX + Segment.formatted(snapshot.index());
        CheckedFile.replace(disk, name, header.array(), snapshot.payload());
        for (String other : names(disk)) {
            if (!other.equals(name)) {
                disk.delete(other);
            }
        }
    }

    /** Reads the newest snapshot; a damaged one is never passed over for an older one. */
    static Optional<StoredSnapshot> load(Disk disk) throws IOException {
        Optional<String> newest = names(disk).stream().max(Comparator.naturalOrder());
        if (newest.isEmpty()) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(CheckedFile.read(disk, newest.get()));
        long index = buffer.getLong();
        long term = buffer.getLong();
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        return Optional.of(new StoredSnapshot(index, term, payload));
    }

    static List<String> names(Disk disk) throws IOException {
        return disk.list().stream()
                .filter(name -> name.startsWith(PREFIX) && !CheckedFile.isTemporary(name))
                .toList();
    }
}
