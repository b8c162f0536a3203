package org.ibisstand.measure;

import org.ibisstand.base.PrefixChain;

/**
 * One request of a workload.
 *
 * @param identifier its number in the run, from one
 * @param arrival when it reaches an entry, in milliseconds since the start
 * @param kind what sort of work it is
 * @param team who sends it
 * @param chain its prompt; without bytes for a call to a plain service
 * @param tokens the tokens to generate, or the milliseconds of a plain service's work
 * @param deadline how many milliseconds after its arrival the first token is of use
 */
record Request(
        long identifier,
        double arrival,
        Kind kind,
        String team,
        PrefixChain chain,
        int tokens,
        double deadline) {
    /** The sorts of work that are measured apart. */
    enum Kind {
        LONG(1, true, true),
        SHORT(0, true, true),
        LOOKUP(0, false, true),
        ORDER(0, false, false);

        private final int mRank;
        private final boolean mModel;
        private final boolean mIdempotent;

        Kind(int rank, boolean model, boolean idempotent) {
            mRank = rank;
            mModel = model;
            mIdempotent = idempotent;
        }

        int rank() {
            return mRank;
        }

        boolean isModel() {
            return mModel;
        }

        boolean isIdempotent() {
            return mIdempotent;
        }
    }

    /** Returns the milliseconds that the prompt takes on an idle engine with an empty cache. */
    double coldMilliseconds() {
        return chain.promptBytes() / EngineModel.BYTES_PER_MILLISECOND;
    }
}
