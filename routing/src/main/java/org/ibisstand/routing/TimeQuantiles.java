package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Percentiles of recent times in buckets that each are a tenth wider than the one before; two
 * windows that follow each other keep it recent. Confined to one thread at a time by its lock.
 */
final class TimeQuantiles {
    private static final int BUCKETS = 160;
    private static final double GROWTH = Math.log(1.1);
    private static final double FIRST_MILLISECONDS = 0.1;
    private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

    private final Duration mWindow;
    private final int mMinimumCount;
    private long[] mPresent = new long[BUCKETS];
    private long[] mBefore = new long[BUCKETS];
    private Instant mSince;

    TimeQuantiles(Duration window, int minimumCount, Instant now) {
        mWindow = window;
        mMinimumCount = minimumCount;
        mSince = now;
    }

    synchronized void add(Duration time, Instant now) {
        rotate(now);
        mPresent[bucketOf(time)]++;
    }

    /** Returns the upper bound of a percentile's bucket, once there are enough times. */
    synchronized Optional<Duration> quantile(double share, Instant now) {
        rotate(now);
        long total = 0;
        for (int bucket = 0; bucket < BUCKETS; bucket++) {
            total += mPresent[bucket] + mBefore[bucket];
        }
        return total < mMinimumCount ? Optional.empty() : Optional.of(at(share * total));
    }

    private Duration at(double rank) {
        long seen = 0;
        int bucket = 0;
        while (bucket < BUCKETS - 1) {
            seen += mPresent[bucket] + mBefore[bucket];
            if (seen >= rank) {
                break;
            }
            bucket++;
        }
        double milliseconds = FIRST_MILLISECONDS * Math.exp(bucket * GROWTH);
        return Duration.ofNanos((long) (milliseconds * NANOSECONDS_PER_MILLISECOND));
    }

    private void rotate(Instant now) {
        if (now.isBefore(mSince.plus(mWindow))) {
            return;
        }
        boolean isLongAgo = !now.isBefore(mSince.plus(mWindow.multipliedBy(2)));
        mBefore = isLongAgo ? new long[BUCKETS] : mPresent;
        mPresent = new long[BUCKETS];
        mSince = now;
    }

    private static int bucketOf(Duration time) {
        double milliseconds = time.toNanos() / NANOSECONDS_PER_MILLISECOND;
        double position = Math.log(milliseconds / FIRST_MILLISECONDS) / GROWTH;
        return (int) Math.clamp(Math.ceil(position), 0, BUCKETS - 1);
    }
}
