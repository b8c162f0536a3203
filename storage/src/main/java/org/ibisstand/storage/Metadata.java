package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The file that identifies a data folder and keeps its term and vote.
 *
 * @param identity the identity of the data folder
 * @param termAndVote the newest term and the vote in it
 */
record Metadata(long identity, TermAndVote termAndVote) {
    static final String FILE = "metadata";

    void save(Disk disk) throws IOException {
        byte[] vote = termAndVote.vote().getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(2 * Long.BYTES + vote.length);
        buffer.putLong(identity);
        buffer.putLong(termAndVote.term());
        buffer.put(vote);
        CheckedFile.replace(disk, FILE, buffer.array());
    }

    static Metadata load(Disk disk) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(CheckedFile.read(disk, FILE));
        long identity = buffer.getLong();
        long term = buffer.getLong();
        String vote = StandardCharsets.UTF_8.decode(buffer).toString();
        return new Metadata(identity, new TermAndVote(term, vote));
    }
}
