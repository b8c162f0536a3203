package org.ibisstand.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;

/** Counts and times of a gateway; docs/metrics.md describes each. */
final class GatewayMetrics {
    /** About two scrapes at the usual fifteen seconds. */
    private static final long WINDOW_SECONDS = 30;

    private final MetricRegistry mRegistry;
    private final Histogram mFirstByte;
    private final Histogram mWhole;

    GatewayMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstByte = histogram("gateway.first_byte_milliseconds");
        mWhole = histogram("gateway.answer_milliseconds");
    }

    void answered(int status, long milliseconds) {
        mRegistry.counter("gateway.answers." + status).inc();
        mWhole.update(milliseconds);
    }

    void firstByte(long milliseconds) {
        mFirstByte.update(milliseconds);
    }

    void counted(String event) {
        mRegistry.counter("gateway." + event).inc();
    }

    private Histogram histogram(String name) {
        return mRegistry.histogram(
                name,
                () ->
                        new Histogram(
                                new SlidingTimeWindowArrayReservoir(
                                        WINDOW_SECONDS, TimeUnit.SECONDS)));
    }
}
