package org.ibisstand.storage;

import java.io.IOException;
import java.util.List;

/** The operations of a file system that the log store uses, on one flat folder. */
public interface Disk extends AutoCloseable {
    /**
     * Returns the names of all files in the folder, in no particular order.
     *
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Opens a file for reading and writing, and creates it if it is missing. A new file survives a
     * crash only after {@link #syncFolder}.
     *
     * @param name the file's name in the folder
     * @throws IOException if the file cannot be opened
     */
    StorageFile open(String name) throws IOException;

    /**
     * Renames a file and replaces any file of the new name. The change survives a crash only after
     * {@link #syncFolder}.
     *
     * @param from the present name
     * @param to the new name
     * @throws IOException if the file cannot be renamed
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it exists. The change survives a crash only after {@link #syncFolder}.
     *
     * @param name the file's name in the folder
     * @throws IOException if the file cannot be deleted
     */
    void delete(String name) throws IOException;

    /**
     * Makes all creations, renames and deletions so far survive a crash.
     *
     * @throws IOException if the folder cannot be synced
     */
    void syncFolder() throws IOException;

    /** Releases the folder for another process. */
    @Override
    void close();
}
