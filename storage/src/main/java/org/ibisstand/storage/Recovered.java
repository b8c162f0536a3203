package org.ibisstand.storage;

import java.util.List;
import java.util.Optional;

/**
 * What a data folder held when it was opened.
 *
 * @param identity a random number drawn when the folder was first used, never zero; a lost disk
 *     therefore gives a new identity
 * @param termAndVote the newest term and the vote in it
 * @param snapshot the newest snapshot
 * @param records the records after the snapshot, in order
 */
public record Recovered(
        long identity,
        TermAndVote termAndVote,
        Optional<StoredSnapshot> snapshot,
        List<LogRecord> records) {}
