package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** A small file that is always replaced whole and carries a checksum of its content. */
final class CheckedFile {
    private static final String TEMPORARY_SUFFIX = ".tmp";
    private static final int HEADER_BYTES = 8;

    private CheckedFile() {}

    static boolean isTemporary(String name) {
        return name.endsWith(TEMPORARY_SUFFIX);
    }

    /** Replaces the file so that a crash leaves either the old content or the new one. */
    static void replace(Disk disk, String name, byte[] payload) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        try (StorageFile file = disk.open(temporary)) {
            file.truncate(0);
            file.write(0, encode(payload));
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

    private static byte[] encode(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length);
        buffer.putInt(checksum(payload));
        buffer.put(payload);
        return buffer.array();
    }

    private static byte[] decode(String name, byte[] content) {
        ByteBuffer buffer = ByteBuffer.wrap(content);
        if (content.length < HEADER_BYTES || buffer.getInt() != content.length - HEADER_BYTES) {
            throw damaged(name);
        }
        int checksum = buffer.getInt();
        byte[] payload = new byte[buffer.remaining()];
        buffer.get(payload);
        if (checksum != checksum(payload)) {
            throw damaged(name);
        }
        return payload;
    }

    private static int checksum(byte[] payload) {
        CRC32C checksum = new CRC32C();
        checksum.update(payload);
        return (int) checksum.getValue();
    }

    private static IbisstandException damaged(String name) {
        return new IbisstandException(
                ErrorCode.STORAGE_DAMAGED, "the checksum of the file " + name + " is wrong");
    }
}
