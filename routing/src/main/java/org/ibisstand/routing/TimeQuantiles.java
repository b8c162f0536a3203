package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Approximate quantiles of recent durations, from a histogram whose bucket bounds grow by a tenth.
 * The current and the previous window are counted, older ones are dropped. Thread-safe by locking.
 */
final class TimeQuantiles {
    private static final int BUCKETS = 160;
    private static final double LOG_GROWTH = Math.log(1.1);
    private static final double FIRST_BUCKET_MILLISECONDS = 0.1;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Duration mWindow;
    private final int mMinimumCount;
    private long[] mCurrent = new long[BUCKETS];
    private long[] mPrevious = new long[BUCKETS];
    private Instant mWindowStart;

    TimeQuantiles(Duration window, int minimumCount, Instant now) {
        mWindow = window;
        mMinimumCount = minimumCount;
        mWindowStart = now;
    }

    synchronized void add(Duration time, Instant now) {
        rotate(now);
        mCurrent[bucketOf(time)]++;
    }

    /**
     * Returns the upper bound of the bucket that holds a quantile; empty if there are too few
     * durations.
     */
    synchronized Optional<Duration> quantile(double share, Instant now) {
        rotate(now);
        long total = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            total += mCurrent[bucket] + mPrevious[bucket];
        }
        return total < mMinimumCount
                ? Optional.empty()
                : Optional.of(upperBoundOfRank(share * total));
    }

    private Duration upperBoundOfRank(double rank) {
        long seen = 0;
        int bucket = 0;
        while (bucket < BUCKETS - 1) {
            seen += mCurrent[bucket] + mPrevious[bucket];
            if (seen >= rank) {
                break;
            }
            bucket++;
        }
        double milliseconds = FIRST_BUCKET_MILLISECONDS * Math.exp(bucket * LOG_GROWTH);
        return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
    }

    private void rotate(Instant now) {
        if (now.isBefore(mWindowStart.plus(mWindow))) {
            return;
        }
        boolean isPreviousWindowOver = !now.isBefore(mWindowStart.plus(mWindow.multipliedBy(2)));
        mPrevious = isPreviousWindowOver ? new long[BUCKETS] : mCurrent;
        mCurrent = new long[BUCKETS];
        mWindowStart = now;
    }

    private static int bucketOf(Duration time) {
        double milliseconds = time.toNanos() / NANOSECONDS_PER_MILLISECOND;
        double position = Math.log(milliseconds / FIRST_BUCKET_MILLISECONDS) / LOG_GROWTH;
        return (int) Math.clamp(Math.ceil(position), 0, BUCKETS - 1);
    }
}
