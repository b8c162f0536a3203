package org.ibisstand.routing;

import java.time.Duration;
import java.time.Instant;

/** An immutable token bucket; taking and adding tokens return a new bucket. */
record TokenBucket(double tokens, Instant updated) {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double MAXIMUM_WAIT_SECONDS = 3600;

    /** Returns the bucket refilled at a constant rate up to now. */
    TokenBucket refilled(double tokensPerSecond, double capacity, Instant now) {
        double seconds = Duration.between(updated, now).toNanos() / NANOSECONDS_PER_SECOND;
        double added = Math.max(0, seconds) * tokensPerSecond;
        Instant later = now.isAfter(updated) ? now : updated;
        return new TokenBucket(Math.min(capacity, tokens + added), later);
    }

    /** Returns the bucket with some tokens added. */
    TokenBucket plus(double added, double capacity) {
        return new TokenBucket(Math.min(capacity, tokens + added), updated);
    }

    /** Returns the bucket with one token taken. */
    TokenBucket minusOne() {
        return new TokenBucket(tokens - 1, updated);
    }

    boolean hasToken() {
        return tokens >= 1;
    }

    /** Returns the time until a constant rate yields a whole token; at most one hour. */
    Duration timeUntilToken(double tokensPerSecond) {
        double missing = Math.max(0, 1 - tokens);
        double seconds = Math.min(missing / tokensPerSecond, MAXIMUM_WAIT_SECONDS);
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }
}
