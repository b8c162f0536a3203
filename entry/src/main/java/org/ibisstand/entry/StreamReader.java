package org.ibisstand.entry;

import java.util.Optional;
import java.util.zip.CRC32C;
import org.ibisstand.wire.message.Chunk;
import org.ibisstand.wire.message.End;

/**
 * Checks that the chunks of one answer arrive whole and in order.
 *
 * <p>A chunk that came before, as after a resume, is passed over.
 */
final class StreamReader {
    private final CRC32C mChecksum = new CRC32C();
    private long mNextSequence;
    private boolean mBroken;

    /** Returns the bytes of a chunk that is the next one; empty for a repeated one. */
    Optional<byte[]> accept(Chunk chunk) {
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

    /** Returns whether the answer is complete at its end. */
    boolean isWhole(End end) {
        return !mBroken
                && end.getChunkCount() == mNextSequence
                && end.getChecksum() == (int) mChecksum.getValue();
    }

    /** Returns whether a chunk was missing. */
    boolean isBroken() {
        return mBroken;
    }

    /** Returns the sequence of the chunk that is awaited. */
    long nextSequence() {
        return mNextSequence;
    }
}
