package org.ibisstand.base;

import java.util.Arrays;

/**
 * The hashes of all whole-piece prefixes of one prompt, the shortest first.
 *
 * <p>Two prompts share the hash at an index exactly if they share salt and all bytes up to there,
 * but for collisions of 64 bits. A collision costs a misplaced request, never a wrong answer, since
 * the engine checks its own blocks.
 */
public final class PrefixChain {
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final long[] mHashes;
    private final int mPieceBytes;
    private final int mPromptBytes;

    private PrefixChain(long[] hashes, int pieceBytes, int promptBytes) {
        mHashes = hashes;
        mPieceBytes = pieceBytes;
        mPromptBytes = promptBytes;
    }

    /**
     * Hashes a prompt; a last piece that is not full has no hash.
     *
     * @param salt separates teams and weights versions
     * @param prompt the prompt as UTF-8
     * @param pieceBytes the bytes in a piece, positive
     */
    public static PrefixChain of(CacheSalt salt, byte[] prompt, int pieceBytes) {
        long[] hashes = new long[prompt.length / pieceBytes];
        long hash = salt.seed();
        for (int piece = 0; piece < hashes.length; piece++) {
            hash = extend(hash, prompt, piece * pieceBytes, pieceBytes);
            hashes[piece] = hash;
        }
        return new PrefixChain(hashes, pieceBytes, prompt.length);
    }

    /**
     * Rebuilds a chain that another process hashed.
     *
     * @param hashes the hashes in order
     * @param pieceBytes the bytes in a piece
     * @param promptBytes the length of the whole prompt in bytes
     */
    public static PrefixChain ofHashes(long[] hashes, int pieceBytes, int promptBytes) {
        return new PrefixChain(hashes.clone(), pieceBytes, promptBytes);
    }

    /** Returns the number of whole pieces. */
    public int length() {
        return mHashes.length;
    }

    /**
     * Returns the hash of the prefix that ends with a piece.
     *
     * @param piece the index of the piece, from zero
     */
    public long hash(int piece) {
        return mHashes[piece];
    }

    /** Returns a copy of all hashes. */
    public long[] hashes() {
        return mHashes.clone();
    }

    /** Returns the bytes in a piece. */
    public int pieceBytes() {
        return mPieceBytes;
    }

    /** Returns the bytes of the whole prompt, with its last part piece. */
    public int promptBytes() {
        return mPromptBytes;
    }

    private static long extend(long previous, byte[] prompt, int from, int length) {
        long hash = mix(previous ^ MULTIPLIER);
        int end = from + length;
        int position = from;
        for (; position + Long.BYTES <= end; position += Long.BYTES) {
            hash = mix(hash ^ word(prompt, position));
        }
        for (; position < end; position++) {
            hash = mix(hash ^ (prompt[position] & 0xFFL));
        }
        return hash;
    }

    private static long word(byte[] bytes, int position) {
        long word = 0;
        for (int offset = 0; offset < Long.BYTES; offset++) {
            word = (word << Byte.SIZE) | (bytes[position + offset] & 0xFFL);
        }
        return word;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PrefixChain chain
                && Arrays.equals(mHashes, chain.mHashes)
                && mPromptBytes == chain.mPromptBytes;
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(mHashes);
    }
}
