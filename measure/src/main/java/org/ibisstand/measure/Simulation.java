package org.ibisstand.measure;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;
import org.ibisstand.base.ManualClock;

/** Runs events in the order of their times and advances a clock to each. */
final class Simulation {
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private record Event(double at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private double mNow;
    private long mOrder;

    Clock clock() {
        return mClock;
    }

    /** Returns the milliseconds since the start. */
    double now() {
        return mNow;
    }

    Instant instant() {
        return mClock.instant();
    }

    /** Runs an action after a delay in milliseconds. */
    void after(double delay, Runnable action) {
        mEvents.add(new Event(mNow + Math.max(0, delay), mOrder++, action));
    }

    /** Runs an action at a time in milliseconds, at once if it has passed. */
    void at(double time, Runnable action) {
        after(time - mNow, action);
    }

    /** Runs all events up to a time in milliseconds. */
    void runUntil(double end) {
        while (!mEvents.isEmpty() && mEvents.peek().at() <= end) {
            Event event = mEvents.remove();
            mNow = event.at();
            advanceClock();
            event.action().run();
        }
    }

    private void advanceClock() {
        Instant target = Instant.EPOCH.plusNanos((long) (mNow * NANOSECONDS_PER_MILLISECOND));
        Duration step = Duration.between(mClock.instant(), target);
        if (step.isPositive()) {
            mClock.advance(step);
        }
    }
}
