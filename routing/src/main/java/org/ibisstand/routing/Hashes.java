package org.ibisstand.routing;

/** 64-bit hash functions for rendezvous hashing, with the constants of SplitMix64. */
final class Hashes {
    private static final long INCREMENT = 0x9E3779B97F4A7C15L;

    private Hashes() {}

    /** Returns a hash in which every bit depends on every bit of the value. */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    /** Returns the hash of a text; the same in all processes. */
    static long ofText(String text) {
        long hash = INCREMENT;
        for (int position = 0; position < text.length(); position++) {
            hash = mix(hash ^ text.charAt(position)) + INCREMENT;
        }
        return hash;
    }
}
