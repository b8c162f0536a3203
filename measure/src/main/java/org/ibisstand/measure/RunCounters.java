package org.ibisstand.measure;

/** Counts messages and attempts over all entries of a run. */
final class RunCounters {
    private long mOffers;
    private long mAttempts;

    void countOffer() {
        mOffers++;
    }

    long nextAttempt() {
        return ++mAttempts;
    }

    long offers() {
        return mOffers;
    }

    long attempts() {
        return mAttempts;
    }
}
