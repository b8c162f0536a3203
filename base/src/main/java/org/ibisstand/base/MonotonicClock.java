package org.ibisstand.base;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/** A UTC clock that starts at the system time and never goes back or jumps. */
public final class MonotonicClock extends Clock {
    private final Instant mStart;
    private final long mStartNanos;

    private MonotonicClock(Instant start, long startNanos) {
        mStart = start;
        mStartNanos = startNanos;
    }

    /** Returns a clock anchored at the present system time. */
    public static MonotonicClock start() {
        return new MonotonicClock(Clock.systemUTC().instant(), System.nanoTime());
    }

    @Override
    public Instant instant() {
        return mStart.plusNanos(System.nanoTime() - mStartNanos);
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
