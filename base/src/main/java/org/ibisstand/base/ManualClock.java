package org.ibisstand.base;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A clock that stands still until it is advanced; tests and measurements use it. */
public final class ManualClock extends Clock {
    private volatile Instant mNow;

    private ManualClock(Instant now) {
        mNow = now;
    }

    /**
     * Returns a clock that stands at the given instant.
     *
     * @param now the first instant to report
     */
    public static ManualClock at(Instant now) {
        return new ManualClock(now);
    }

    /**
     * Moves the clock forward.
     *
     * @param step how far, not negative
     */
    public void advance(Duration step) {
        if (step.isNegative()) {
            throw new IllegalArgumentException("the clock cannot go back by " + step);
        }
        mNow = mNow.plus(step);
    }

    @Override
    public Instant instant() {
        return mNow;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
