package org.ibisstand.agent;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;

/** Counts and times what the agent does. */
final class WorkloadMetrics {
    private final Counter mDispatched;
    private final Counter mRefused;
    private final Counter mRecordDelayed;
    private final Timer mFirstByte;
    private final Timer mService;

    WorkloadMetrics(MetricRegistry registry) {
        mDispatched = registry.counter("agent.requests.dispatched");
        mRefused = registry.counter("agent.requests.not_run");
        mRecordDelayed = registry.counter("agent.outcomes.delayed");
        mFirstByte = registry.timer("agent.backend.first_byte");
        mService = registry.timer("agent.backend.service");
    }

    void dispatched() {
        mDispatched.inc();
    }

    void refused() {
        mRefused.inc();
    }

    void recordDelayed() {
        mRecordDelayed.inc();
    }

    void firstByte(Duration duration) {
        mFirstByte.update(duration);
    }

    void ended(Duration duration) {
        mService.update(duration);
    }
}
