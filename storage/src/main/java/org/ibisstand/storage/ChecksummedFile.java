package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** Reads and atomically replaces files that start with a length and a CRC-32C checksum. */
final class ChecksummedFile {
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int HEADER_BYTES = 8;

    private ChecksummedFile() {}

    static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    /**
     * Replaces the file atomically: after a crash it has either the old content or the new one.
     * Writes the parts separately, since concatenating a large state would double its memory use.
     */
    static void replace(Disk disk, String name, byte[]... parts) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        try (StorageFile file = disk.open(temporary)) {
            file.truncate(0);
            write(file, parts);
            file.sync();
        }
        disk.rename(temporary, name);
        disk.syncFolder();
    }

    static byte[] read(Disk disk, String name) throws IOException {
        try (StorageFile file = disk.open(name)) {
            return decode(name, file.readAll());
        }
    }

    private static void write(StorageFile file, byte[]... parts) throws IOException {
        long position = HEADER_BYTES;
        CRC32C checksum = new CRC32C();
        for (byte[] part : parts) {
            file.write(position, part);
            checksum.update(part);
            position += part.length;
        }
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
        header.putInt(Math.toIntExact(position - HEADER_BYTES));
        header.putInt((int) checksum.getValue());
        file.write(0, header.array());
    }

    private static byte[] decode(String name, byte[] content) {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        if (content.length < HEADER_BYTES || buffer.getInt() != content.length - HEADER_BYTES) {
            throw corruptFile(name);
        }
        int checksum = buffer.getInt();
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        if (checksum != checksum(payload)) {
            throw corruptFile(name);
        }
        return payload;
    }

    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(payload);
        return (int) checksum.getValue();
    }

    private static IbisstandException corruptFile(String name) {
        return new IbisstandException(
                ErrorCode.STORAGE_DAMAGED, "file " + name + " has a wrong length or checksum");
    }
}
