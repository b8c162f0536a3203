package org.ibisstand.measure.quota;

import java.time.Clock;

/**
 * Gives each gateway a bucket with a share of the quota. Optionally the gateways exchange what they
 * granted; an exchange takes no time and reaches all at once, which favours this contender.
 */
final class BucketDecision implements QuotaContender.Decision {
    private final Clock mClock;
    private final QuotaMeasurement mMeasurement;
    private final long mExchangeMilliseconds;
    private final Bucket[][] mBuckets;
    private final Bucket[] mExact;
    private long mNextExchange;

    /** Creates buckets; an interval of zero means no exchange. */
    BucketDecision(
            Clock clock,
            QuotaMeasurement measurement,
            int buckets,
            double share,
            long exchangeMilliseconds) {
        mClock = clock;
        mMeasurement = measurement;
        mExchangeMilliseconds = exchangeMilliseconds;
        int teams = measurement.load().teams();
        mBuckets = new Bucket[teams][buckets];
        mExact = new Bucket[teams];
        for (int team = 0; team < teams; team++) {
            mExact[team] = new Bucket(QuotaLoad.QUOTA, 1, clock.millis());
            for (int index = 0; index < buckets; index++) {
                mBuckets[team][index] = new Bucket(QuotaLoad.QUOTA, share, clock.millis());
            }
        }
    }

    /** Grants by the rule of the ledger: in full while the level is above zero. */
    @Override
    public void decide(Arrival arrival) {
        long now = mClock.millis();
        Bucket[] buckets = mBuckets[arrival.team()];
        Bucket bucket = buckets[arrival.gateway() % buckets.length];
        boolean isGranted = bucket.level(now) > 0;
        if (isGranted) {
            bucket.setLevel(bucket.level(now) - arrival.units(), now);
            Bucket exact = mExact[arrival.team()];
            exact.setLevel(exact.level(now) - arrival.units(), now);
        }
        mMeasurement.decided(arrival, isGranted);
    }

    @Override
    public void step() {
        long now = mClock.millis();
        if (mExchangeMilliseconds == 0 || now < mNextExchange) {
            return;
        }
        mNextExchange = now + mExchangeMilliseconds;
        for (int team = 0; team < mExact.length; team++) {
            for (Bucket bucket : mBuckets[team]) {
                bucket.setLevel(mExact[team].level(now), now);
            }
        }
    }
}
