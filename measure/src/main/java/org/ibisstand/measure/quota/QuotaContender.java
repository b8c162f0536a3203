package org.ibisstand.measure.quota;

import java.time.Clock;

/** A way to decide quotas that is measured against the others on the same load. */
enum QuotaContender {
    LEDGER,
    EQUAL_SHARE,
    EXCHANGE,
    CLAIRVOYANT;

    private static final int GATEWAYS = QuotaLoad.GATEWAYS;

    Decision start(Clock clock, QuotaMeasurement measurement) {
        return switch (this) {
            case LEDGER -> new LedgerDecision(clock, measurement);
            case EQUAL_SHARE -> new BucketDecision(clock, measurement, GATEWAYS, 1.0 / GATEWAYS, 0);
            case EXCHANGE -> new BucketDecision(clock, measurement, GATEWAYS, 1, 150);
            case CLAIRVOYANT -> new BucketDecision(clock, measurement, 1, 1, 0);
        };
    }

    /** Decides the requests at all gateways and tells the measurement. */
    interface Decision {
        void decide(Arrival arrival);

        /** Runs what is due, once in every step after the arrivals of the step. */
        void step();
    }
}
