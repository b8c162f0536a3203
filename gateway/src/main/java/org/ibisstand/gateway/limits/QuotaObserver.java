package org.ibisstand.gateway.limits;

/** Counts the decisions about quotas. */
public interface QuotaObserver {
    /** Counts a request that was granted. */
    void quotaGranted();

    /** Counts a request that was refused. */
    void quotaRefused();

    /** Counts a request that was decided without an answer of control. */
    void quotaDecidedAlone();

    /** Records how long a request waited until it was decided. */
    void quotaWaited(long milliseconds);
}
