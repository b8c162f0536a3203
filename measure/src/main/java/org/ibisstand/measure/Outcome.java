package org.ibisstand.measure;

/** What became of one request; times are milliseconds since its arrival. */
final class Outcome {
    /** How long a caller waits for the first token before it hangs up. */
    static final double PATIENCE_MILLISECONDS = 30_000;

    private final Request mRequest;
    private double mFirstToken = PATIENCE_MILLISECONDS;
    private boolean mAnswered;
    private boolean mRefused;
    private int mCachedPieces;

    Outcome(Request request) {
        mRequest = request;
    }

    Request request() {
        return mRequest;
    }

    void onFirstToken(double now) {
        mFirstToken = now - mRequest.arrival();
        mAnswered = true;
    }

    void onFinished(int cachedPieces) {
        mCachedPieces = cachedPieces;
    }

    void onRefused() {
        mRefused = true;
    }

    /** Returns the time to the first token; a request without one counts with all its patience. */
    double firstToken() {
        return mFirstToken;
    }

    boolean answered() {
        return mAnswered;
    }

    boolean refused() {
        return mRefused;
    }

    boolean inTime() {
        return mAnswered && mFirstToken <= mRequest.deadline();
    }

    int cachedPieces() {
        return mCachedPieces;
    }
}
