package org.ibisstand.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.ibisstand.base.Verdict;

/** Counts what the entry does. */
final class EntryMetrics {
    private final Counter mCompleted;
    private final Counter mNotRun;
    private final Counter mMayHaveRun;
    private final Counter mRefused;
    private final Counter mRetried;
    private final Counter mCallerGone;

    EntryMetrics(MetricRegistry registry) {
        mCompleted = registry.counter("entry.requests.completed");
        mNotRun = registry.counter("entry.requests.not_run");
        mMayHaveRun = registry.counter("entry.requests.may_have_run");
        mRefused = registry.counter("entry.requests.refused");
        mRetried = registry.counter("entry.attempts.retried");
        mCallerGone = registry.counter("entry.requests.caller_gone");
    }

    void completed() {
        mCompleted.inc();
    }

    void failed(Verdict verdict) {
        switch (verdict) {
            case Verdict.NotRun notRun -> mNotRun.inc();
            case Verdict.MayHaveRun mayHaveRun -> mMayHaveRun.inc();
            case Verdict.Completed completed -> mCompleted.inc();
        }
    }

    void refused() {
        mRefused.inc();
    }

    void retried() {
        mRetried.inc();
    }

    void callerGone() {
        mCallerGone.inc();
    }
}
