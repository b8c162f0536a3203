package org.ibisstand.storage;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The on-disk encoding of a record: magic number, length, checksum, index, term, synced index,
 * payload.
 *
 * <p>The synced index is the last index known to be durable when the frame was written. Recovery
 * uses it to distinguish a torn tail, whose records no later frame confirms as synced, from
 * corruption of synced records.
 *
 * @param record the record
 * @param syncedIndex the last durable index when the frame was written
 */
record RecordFrame(LogRecord record, long syncedIndex) {
    static final int HEADER_BYTES = 36;
    private static final int MAGIC = 0x49424C52;
    private static final int LENGTH_OFFSET = 4;
    private static final int CHECKSUM_OFFSET = 8;
    private static final int INDEX_OFFSET = 12;

    byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + record.payload().length);
        buffer.putInt(MAGIC);
        buffer.putInt(record.payload().length);
        buffer.putInt(0);
        buffer.putLong(record.index());
        buffer.putLong(record.term());
        buffer.putLong(syncedIndex);
        buffer.put(record.payload());
        buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array(), 0, buffer.capacity()));
        return buffer.array();
    }

    /** Decodes the frame at an offset; empty if it is incomplete or corrupt. */
    static Optional<RecordFrame> decode(byte[] content, int position) {
        if (content.length - position < HEADER_BYTES) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(content);
        if (buffer.getInt(position) != MAGIC) {
            return Optional.empty();
        }
        int length = buffer.getInt(position + LENGTH_OFFSET);
        if (length < 0 || length > content.length - position - HEADER_BYTES) {
            return Optional.empty();
        }
        int size = HEADER_BYTES + length;
        if (buffer.getInt(position + CHECKSUM_OFFSET) != checksum(content, position, size)) {
            return Optional.empty();
        }
        buffer.position(position + INDEX_OFFSET);
        long index = buffer.getLong();
        long term = buffer.getLong();
        long syncedIndex = buffer.getLong();
        byte[] payload = new byte[length];
        buffer.get(payload);
        return Optional.of(new RecordFrame(new LogRecord(index, term, payload), syncedIndex));
    }

    int size() {
        return HEADER_BYTES + record.payload().length;
    }

    private static int checksum(byte[] bytes, int position, int size) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, position, CHECKSUM_OFFSET);
        checksum.update(bytes, position + INDEX_OFFSET, size - INDEX_OFFSET);
        return (int) checksum.getValue();
    }
}
