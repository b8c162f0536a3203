package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;

/** An open file of a {@link Disk}. */
public interface StorageFile extends AutoCloseable {
    /**
     * Returns the complete content of the file.
     *
     * @throws IOException if the file cannot be read
     */
    byte[] readAll() throws IOException;

    /**
     * Writes bytes at an offset. They are durable only after {@link #sync}; a crash before that may
     * keep any part of them.
     *
     * @param position the offset of the first byte
     * @param bytes the bytes to write
     * @throws IOException if not all bytes were written; the same write may be repeated
     */
    void write(long position, byte[] bytes) throws IOException;

    /**
     * Truncates the file.
     *
     * @param size the new size in bytes
     * @throws IOException if the file cannot be truncated
     */
    void truncate(long size) throws IOException;

    /**
     * Makes all writes so far durable.
     *
     * @throws SyncFailedException if the sync fails; the content of the file is then unknown
     */
    void sync() throws SyncFailedException;

    /** Closes the file without syncing it. */
    @Override
    void close();
}
