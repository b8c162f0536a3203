package org.ibisstand.agent;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;

/** Counters and timers for the execution of requests. */
final class ExecutionMetrics {
    private final Counter mDispatched;
    private final Counter mNotRun;
    private final Counter mRecordDelayed;
    private final Timer mFirstByte;
    private final Timer mService;

    ExecutionMetrics(MetricRegistry registry) {
        mDispatched = registry.counter("agent.requests.dispatched");
        mNotRun = registry.counter("agent.requests.not_run");
        mRecordDelayed = registry.counter("agent.outcomes.delayed");
        mFirstByte = registry.timer("agent.backend.first_byte");
        mService = registry.timer("agent.backend.service");
    }

    void dispatched() {
        mDispatched.inc();
    }

    void notRun() {
        mNotRun.inc();
    }

    void recordDelayed() {
        mRecordDelayed.inc();
    }

    void firstByte(Duration duration) {
        mFirstByte.update(duration);
    }

    void completed(Duration duration) {
        mService.update(duration);
    }
}
