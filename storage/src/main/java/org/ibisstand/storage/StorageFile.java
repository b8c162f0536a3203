package org.ibisstand.storage;

import java.io.IOException;

/** One open file of a {@link Disk}. */
public interface StorageFile extends AutoCloseable {
    /**
     * Returns the file's whole content.
     *
     * @throws IOException if the file cannot be read
     */
    byte[] readAll() throws IOException;

    /**
     * Writes bytes at a position. They survive a crash only after {@link #sync}; before that any
     * part of them may.
     *
     * @param position the offset of the first byte
     * @param bytes what to write
     * @throws IOException if not everything was written
     */
    void write(long position, byte[] bytes) throws IOException;

    /**
     * Cuts the file at a size.
     *
     * @param size the bytes that stay
     * @throws IOException if the file cannot be cut
     */
    void truncate(long size) throws IOException;

    /**
     * Makes all writes so far survive a crash.
     *
     * @throws IOException if the disk reports that it could not; the content is then unknown
     */
    void sync() throws IOException;

    /** Releases the file without a sync. */
    @Override
    void close();
}
