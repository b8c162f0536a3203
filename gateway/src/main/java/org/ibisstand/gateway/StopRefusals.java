package org.ibisstand.gateway;

/**
 * Counts what a stopping gateway refuses, and tells whether its callers find another gateway. A
 * caller that does is refused here once; as many refusals as there were callers, and more, come
 * from callers that are sent back to this gateway and would only be refused again and again.
 * Confined to the gateway's event loop.
 */
final class StopRefusals {
    /** Connections that were on their way at the signal, at a gateway that had few. */
    private static final int MINIMUM_CALLERS = 16;

    private int mCallers = MINIMUM_CALLERS;
    private int mRefusals;

    /** Sets how many callers were connected as the stop began. */
    void setCallers(int callers) {
        mCallers = Math.max(MINIMUM_CALLERS, callers);
    }

    /** Counts a refusal; returns whether its caller will be served elsewhere at once. */
    boolean isServedElsewhere() {
        return ++mRefusals <= mCallers;
    }
}
