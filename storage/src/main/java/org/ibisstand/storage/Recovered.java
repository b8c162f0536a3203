package org.ibisstand.storage;

import java.util.List;
import java.util.Optional;

/**
 * The content of a data folder when it was opened.
 *
 * @param identity a random nonzero number, generated when the folder is first used; a member that
 *     lost its disk therefore has a new identity
 * @param termAndVote the latest term and the vote cast in it
 * @param snapshot the latest snapshot, if any
 * @param records the records after the snapshot, in index order
 */
public record Recovered(
        long identity,
        TermAndVote termAndVote,
        Optional<StoredSnapshot> snapshot,
        List<LogRecord> records) {}
