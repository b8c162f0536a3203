package org.ibisstand.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The metadata file: the identity of a data folder, and the member's term and vote.
 *
 * @param identity the identity of the data folder
 * @param termAndVote the latest term and the vote cast in it
 */
record Metadata(long identity, TermAndVote termAndVote) {
    static final String FILE_NAME = "metadata";

    void save(Disk disk) throws IOException {
        byte[] vote = termAndVote.vote().getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer = ByteBuffer.allocate(2 * Long.BYTES + vote.length);
        buffer.putLong(identity);
        buffer.putLong(termAndVote.term());
        buffer.put(vote);
        ChecksummedFile.replace(disk, FILE_NAME, buffer.array());
    }

    static Metadata load(Disk disk) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(ChecksummedFile.read(disk, FILE_NAME));
        long identity = buffer.getLong();
        long term = buffer.getLong();
        String vote = StandardCharsets.UTF_8.decode(buffer).toString();
        return new Metadata(identity, new TermAndVote(term, vote));
    }
}
