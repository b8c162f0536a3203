package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.util.List;

/** File system operations of the log store, limited to one folder without subfolders. */
public interface Disk extends AutoCloseable {
    /**
     * Returns the names of all files in the folder, in no particular order.
     *
     * @throws IOException if the folder cannot be read
     */
    List<String> list() throws IOException;

    /**
     * Opens a file for reading and writing, creating it if it does not exist. A new file is durable
     * only after {@link #syncFolder}.
     *
     * @param name the file's name in the folder
     * @throws IOException if the file cannot be opened
     */
    StorageFile open(String name) throws IOException;

    /**
     * Renames a file, replacing any existing file with the new name. The change is durable only
     * after {@link #syncFolder}.
     *
     * @param from the current name
     * @param to the new name
     * @throws IOException if the file cannot be renamed
     */
    void rename(String from, String to) throws IOException;

    /**
     * Deletes a file if it exists. The change is durable only after {@link #syncFolder}.
     *
     * @param name the file's name in the folder
     * @throws IOException if the file cannot be deleted
     */
    void delete(String name) throws IOException;

    /**
     * Makes all file creations, renames and deletions so far durable.
     *
     * @throws SyncFailedException if the sync fails; it is then unknown which names are durable
     */
    void syncFolder() throws SyncFailedException;

    /** Closes the folder, so that another process can open it. */
    @Override
    void close();
}
