package org.ibisstand.routing;

/** Averages how long work stays at the backend server. */
final class ServiceTime {
    private static final double INITIAL_MILLISECONDS = 20;
    private static final double GAIN = 0.1;

    private double mMilliseconds = INITIAL_MILLISECONDS;

    void observed(double milliseconds) {
        mMilliseconds += GAIN * (milliseconds - mMilliseconds);
    }

    double milliseconds() {
        return mMilliseconds;
    }
}
