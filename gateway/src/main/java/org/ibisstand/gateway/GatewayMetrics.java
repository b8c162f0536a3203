package org.ibisstand.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import java.util.concurrent.TimeUnit;
import org.ibisstand.gateway.limits.OverloadQueue;
import org.ibisstand.gateway.limits.QuotaObserver;

/** The counters and histograms of a gateway; docs/metrics.md describes each. */
final class GatewayMetrics implements OverloadQueue.Metrics, QuotaObserver {
    /** About two scrapes at the usual interval of 15 s. */
    private static final long WINDOW_SECONDS = 30;

    private final MetricRegistry mRegistry;
    private final Histogram mFirstByte;
    private final Histogram mResponse;
    private final Histogram mQuotaWait;
    private final Histogram mOverloadWait;
    private volatile long mPrefillTokensPerSecond;

    GatewayMetrics(MetricRegistry registry) {
        mRegistry = registry;
        mFirstByte = histogram("gateway.first_byte_milliseconds");
        mResponse = histogram("gateway.answer_milliseconds");
        mQuotaWait = histogram("gateway.quota_wait_milliseconds");
        mOverloadWait = histogram("gateway.overload_wait_milliseconds");
        Gauge<Long> prefillRate = () -> mPrefillTokensPerSecond;
        registry.gauge("gateway.prefill_tokens_per_second", () -> prefillRate);
    }

    void recordResponse(int status, long milliseconds) {
        mRegistry.counter("gateway.answers." + status).inc();
        mResponse.update(milliseconds);
    }

    void recordFirstByte(long milliseconds) {
        mFirstByte.update(milliseconds);
    }

    @Override
    public void recordWait(long milliseconds) {
        mOverloadWait.update(milliseconds);
    }

    /** Sets the rate that a typical engine of the slowest service is taken to have. */
    void setPrefillTokensPerSecond(long tokensPerSecond) {
        mPrefillTokensPerSecond = tokensPerSecond;
    }

    @Override
    public void incrementCounter(String event) {
        mRegistry.counter("gateway." + event).inc();
    }

    @Override
    public void quotaGranted() {
        incrementCounter("quota_granted");
    }

    @Override
    public void quotaRefused() {
        incrementCounter("quota_refusals");
    }

    @Override
    public void quotaDecidedAlone() {
        incrementCounter("quota_decided_alone");
    }

    @Override
    public void quotaWaited(long milliseconds) {
        mQuotaWait.update(milliseconds);
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
