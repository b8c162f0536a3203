package org.ibisstand.wire;

import java.time.Duration;

/**
 * Bounds of the connections between processes.
 *
 * @param heartbeatInterval the longest time a side sends nothing
 * @param silenceLimit how long a side may hear nothing before it closes the connection
 * @param connectTimeout how long a connection may take to open
 * @param shortestReconnect the longest pause before the first reconnection
 * @param longestReconnect the longest pause before any reconnection
 * @param maximumFrameBytes the largest message
 */
public record WireSettings(
        Duration heartbeatInterval,
        Duration silenceLimit,
        Duration connectTimeout,
        Duration shortestReconnect,
        Duration longestReconnect,
        int maximumFrameBytes) {
    /** Returns the bounds that all daemons use. */
    public static WireSettings standard() {
        return new WireSettings(
                Duration.ofMillis(500),
                Duration.ofMillis(2_000),
                Duration.ofMillis(1_000),
                Duration.ofMillis(100),
                Duration.ofMillis(2_000),
                32 * 1024 * 1024);
    }
}
