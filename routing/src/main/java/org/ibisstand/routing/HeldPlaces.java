package org.ibisstand.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/** The places that offers hold for a moment, oldest first. */
final class HeldPlaces {
    private static final int MAXIMUM_HELD = 4096;

    /** One held place; it counts as work ahead until it is taken up, released or expired. */
    record Place(long identifier, int level, String team, double milliseconds, double expires) {}

    private final Deque<Place> mPlaces = new ArrayDeque<>();
    private long mNextIdentifier = 1;

    long hold(int level, String team, double milliseconds, double expires) {
        if (mPlaces.size() >= MAXIMUM_HELD) {
            mPlaces.removeFirst();
        }
        long identifier = mNextIdentifier++;
        mPlaces.addLast(new Place(identifier, level, team, milliseconds, expires));
        return identifier;
    }

    void release(long identifier) {
        mPlaces.removeIf(place -> place.identifier() == identifier);
    }

    void expire(double now) {
        mPlaces.removeIf(place -> place.expires() <= now);
    }

    Iterable<Place> places() {
        return mPlaces;
    }
}
