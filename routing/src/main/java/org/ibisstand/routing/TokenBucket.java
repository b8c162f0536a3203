package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;

/** A token bucket as a value: taking and adding return the bucket that follows. */
record TokenBucket(double tokens, Instant at) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double LONGEST_WAIT_SECONDS = 3600;

    /** Returns the bucket after tokens came in at a steady rate until now. */
    TokenBucket refilled(double tokensPerSecond, double maximum, Instant now) {
        double seconds = Duration.between(at, now).toNanos() / NANOSECONDS_PER_SECOND;
        double added = Math.max(0, seconds) * tokensPerSecond;
        Instant later = now.isAfter(at) ? now : at;
        return new TokenBucket(Math.min(maximum, tokens + added), later);
    }

    /** Returns the bucket after tokens were added at once. */
    TokenBucket plus(double added, double maximum) {
        return new TokenBucket(Math.min(maximum, tokens + added), at);
    }

    /** Returns the bucket after one token was taken. */
    TokenBucket minusOne() {
        return new TokenBucket(tokens - 1, at);
    }

    boolean hasOne() {
        return tokens >= 1;
    }

    /** Returns the time until the bucket has a whole token at a steady rate, an hour at most. */
    Duration untilOne(double tokensPerSecond) {
        double missing = Math.max(0, 1 - tokens);
        double seconds = Math.min(missing / tokensPerSecond, LONGEST_WAIT_SECONDS);
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
