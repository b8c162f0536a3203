package org.ibisstand.wire;

import java.util.Optional;
import java.util.zip.CRC32C;
import org.ibisstand.wire.message.Chunk;
import org.ibisstand.wire.message.End;

/**
 * Checks that the chunks of one answer arrive whole and in order.
 *
 * <p>A chunk that came before, as after a resume, is passed over.
 */
public final class StreamReader {
    private final CRC32C mChecksum = new CRC32C();
    private long mNextSequence;
    private boolean mBroken;

    private StreamReader() {}

    /** Returns a reader that awaits the first chunk. */
    public static StreamReader create() {
        return new StreamReader();
    }

    /**
     * Takes a chunk in.
     *
     * @param chunk as received
     * @return its bytes if it is the next one; empty if it is repeated or one before it is missing
     */
    public Optional<byte[]> accept(Chunk chunk) {
        if (chunk.getSequence() > mNextSequence) {
            mBroken = true;
        }
        if (mBroken || chunk.getSequence() < mNextSequence) {
            return Optional.empty();
        }
        byte[] bytes = chunk.getData().toByteArray();
        mChecksum.update(bytes);
        mNextSequence++;
        return Optional.of(bytes);
    }

    /**
     * Returns whether the answer is complete.
     *
     * @param end the last frame
     */
    public boolean isWhole(End end) {
        return !mBroken
                && end.getChunkCount() == mNextSequence
                && end.getChecksum() == (int) mChecksum.getValue();
    }

    /** Returns whether a chunk was missing. */
    public boolean isBroken() {
        return mBroken;
    }

    /** Returns the sequence of the chunk that is awaited. */
    public long nextSequence() {
        return mNextSequence;
    }
}
