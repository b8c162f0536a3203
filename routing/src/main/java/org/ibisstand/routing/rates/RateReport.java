package org.ibisstand.routing.rates;

import java.time.Clock;

/** Decides when a changed rate is worth a log line. */
public final class RateReport {
    private static final long INTERVAL_MILLISECONDS = 5_000;
    private static final double REPORTED_CHANGE = 0.1;

    private final Clock mClock;
    private double mReportedRate;
    private long mReportedAt;
    private boolean mReported;

    /**
     * Creates a report that assumes that the initial rate is known to readers.
     *
     * @param initialRate the rate that is not worth a line
     * @param clock the time source
     */
    public RateReport(double initialRate, Clock clock) {
        mReportedRate = initialRate;
        mClock = clock;
    }

    /**
     * Returns whether the rate changed by more than a tenth since the last report, if that is at
     * least 5 s ago. If so, the rate counts as reported.
     */
    public boolean shouldReport(double rate) {
        long now = mClock.millis();
        boolean isChanged = Math.abs(rate - mReportedRate) > REPORTED_CHANGE * mReportedRate;
        if (!isChanged || (mReported && now - mReportedAt < INTERVAL_MILLISECONDS)) {
            return false;
        }
        mReported = true;
        mReportedAt = now;
        mReportedRate = rate;
        return true;
    }
}
