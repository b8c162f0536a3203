package org.ibisstand.consensus;

import java.util.List;

/** What members send to each other. */
public sealed interface Message {
    /** Returns the sender's term, or the term asked about in preliminary votes. */
    long term();

    /**
     * Asks for a vote.
     *
     * @param term the term to lead
     * @param lastIndex the candidate's last entry
     * @param lastTerm the term of that entry
     * @param preliminary whether this only asks if a vote would be granted
     */
    record VoteRequest(long term, long lastIndex, long lastTerm, boolean preliminary)
            implements Message {}

    /**
     * Answers a request for a vote.
     *
     * @param term the replier's term
     * @param askedTerm the term that was asked about
     * @param granted whether the vote is or would be granted
     * @param preliminary whether the request was preliminary
     */
    record VoteReply(long term, long askedTerm, boolean granted, boolean preliminary)
            implements Message {}

    /**
     * Sends entries, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param previousIndex the entry before the first one sent
     * @param previousTerm the term of that entry
     * @param entries what follows, in order
     * @param commitIndex the last entry that the leader knows to be committed
     * @param round numbers the leader's confirmations of its leadership
     */
    record AppendRequest(
            long term,
            long previousIndex,
            long previousTerm,
            List<Entry> entries,
            long commitIndex,
            long round)
            implements Message {
        /** Returns the index of the last entry that the request covers. */
        public long lastIndex() {
            return previousIndex + entries.size();
        }
    }

    /**
     * Answers entries once they are durable.
     *
     * @param term the replier's term
     * @param accepted whether the replier's log matches up to the index
     * @param index the last entry that matches, or where to try next after a refusal
     * @param round the round of the request
     */
    record AppendReply(long term, boolean accepted, long index, long round) implements Message {}

    /**
     * Sends a part of a snapshot.
     *
     * @param term the leader's term
     * @param index the last entry that the snapshot covers
     * @param indexTerm the term of that entry
     * @param offset the position of the first byte
     * @param totalBytes the size of the whole encoded snapshot
     * @param data the bytes of this part
     */
    record SnapshotChunk(
            long term, long index, long indexTerm, int offset, int totalBytes, byte[] data)
            implements Message {}

    /**
     * Answers a part of a snapshot; the whole is answered by an {@link AppendReply}.
     *
     * @param term the replier's term
     * @param index the snapshot that is being received
     * @param nextOffset the first byte that is missing
     */
    record SnapshotReply(long term, long index, int nextOffset) implements Message {}
}
