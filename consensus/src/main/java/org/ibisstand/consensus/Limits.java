package org.ibisstand.consensus;

/**
 * Bounds on messages and memory.
 *
 * @param entriesInMessage the most entries in one message
 * @param bytesInMessage the size of commands at which a message is closed
 * @param unacknowledgedEntries the most entries sent to one member and not yet acknowledged
 * @param unacknowledgedBytes the size of the commands of such entries at which no more are sent
 * @param snapshotChunkBytes the most bytes of a snapshot in one message
 * @param retainedEntries the most entries kept behind a snapshot for members that lag a little
 * @param retainedBytes the most bytes of commands in these entries
 */
public record Limits(
        int entriesInMessage,
        int bytesInMessage,
        int unacknowledgedEntries,
        int unacknowledgedBytes,
        int snapshotChunkBytes,
        int retainedEntries,
        int retainedBytes) {
    /** Limits for members that share a region. */
    public static final Limits DEFAULT =
            new Limits(512, 1 << 20, 8192, 4 << 20, 1 << 18, 1024, 2 << 20);
}
