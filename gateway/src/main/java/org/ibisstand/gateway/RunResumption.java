package org.ibisstand.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A stopped run and the engines that can resume it from its KV cache. An engine that is full or
 * carries out an order is tried again, for as long as the KV cache is kept. Performs no I/O.
 */
final class RunResumption {
    private static final long FIRST_PAUSE_MILLISECONDS = 100;

    /** The KV cache would not be kept for much longer. */
    private static final long MAXIMUM_PAUSE_MILLISECONDS = 3_000;

    /** The pauses add up to 3.1 s, less than the time for which engines keep the KV cache. */
    private static final int MAXIMUM_PAUSES = 5;

    private final BackendServer mStoppedEngine;
    private final CacheScope mScope;
    private final Deque<Place> mPlaces;
    private int mUntriedPlaces;
    private int mPauses;
    private Place mCurrent;

    /**
     * Creates a resumption.
     *
     * @param stoppedEngine the engine that stopped the run
     * @param scope the scope that the run's KV cache was computed in
     * @param places the engines to try, the best first; at least one
     */
    RunResumption(BackendServer stoppedEngine, CacheScope scope, List<Place> places) {
        mStoppedEngine = stoppedEngine;
        mScope = scope;
        mPlaces = new ArrayDeque<>(places);
        mUntriedPlaces = places.size();
        mCurrent = places.getFirst();
    }

    /**
     * An engine that can resume the run.
     *
     * @param server the engine
     * @param runSource the header value that locates the run's KV cache
     * @param notBefore when it may be tried, in milliseconds of the gateway's clock
     */
    record Place(BackendServer server, String runSource, long notBefore) {}

    /**
     * A request to resume the run.
     *
     * @param place the engine to send it to
     * @param pauseMilliseconds how long to wait before
     */
    record Retry(Place place, long pauseMilliseconds) {}

    BackendServer stoppedEngine() {
        return mStoppedEngine;
    }

    CacheScope scope() {
        return mScope;
    }

    /** Returns the location of the KV cache for the engine that was chosen last. */
    String runSource() {
        return mCurrent.runSource();
    }

    /**
     * Chooses the engine to try next; empty if none is left, or no time.
     *
     * @param now the time in milliseconds of the gateway's clock
     */
    Optional<Retry> next(long now) {
        while (!mPlaces.isEmpty()) {
            boolean isUntried = mUntriedPlaces > 0;
            mUntriedPlaces = Math.max(0, mUntriedPlaces - 1);
            Place place = mPlaces.poll();
            long wait = Math.max(0, place.notBefore() - now);
            if (!place.server().resumesRuns(now) || wait > MAXIMUM_PAUSE_MILLISECONDS) {
                continue;
            }
            if (!isUntried && mPauses == MAXIMUM_PAUSES) {
                return Optional.empty();
            }
            mCurrent = place;
            long pause = isUntried ? 0 : FIRST_PAUSE_MILLISECONDS << mPauses++;
            return Optional.of(new Retry(place, Math.max(pause, wait)));
        }
        return Optional.empty();
    }

    /**
     * Records that the engine that was chosen last refused the run, and may accept it later.
     *
     * @param notBefore when it may be tried again, in milliseconds of the gateway's clock
     */
    void refusedUntil(long notBefore) {
        mPlaces.add(new Place(mCurrent.server(), mCurrent.runSource(), notBefore));
    }
}
