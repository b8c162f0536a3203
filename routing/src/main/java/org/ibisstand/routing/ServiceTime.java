package org.ibisstand.routing;

/** Moving average of the time that work spends at the backend server. */
final class ServiceTime {
    private static final double INITIAL_MILLISECONDS = 20;
    private static final double SMOOTHING = 0.1;

    private double mAverageMilliseconds = INITIAL_MILLISECONDS;

    void add(double milliseconds) {
        mAverageMilliseconds += SMOOTHING * (milliseconds - mAverageMilliseconds);
    }

    double averageMilliseconds() {
        return mAverageMilliseconds;
    }
}
