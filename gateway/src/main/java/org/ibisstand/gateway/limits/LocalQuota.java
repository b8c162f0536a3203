package org.ibisstand.gateway.limits;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import org.ibisstand.settings.TeamQuota;
import org.ibisstand.wire.message.TeamDemand;
import org.ibisstand.wire.message.TeamGrant;

/**
 * What one gateway knows about the quota of one team: the allowance that it may spend without
 * asking, what control has yet to be told, and a bucket for the time without control. Performs no
 * I/O.
 */
final class LocalQuota {
    /** An allowance not used by then is void, so a lowered quota is in force within this time. */
    static final long ALLOWANCE_MILLISECONDS = 500;

    private static final double MILLISECONDS_PER_SECOND = 1_000;

    private final Clock mClock;
    private TeamQuota mQuota;
    private int mGateways;
    private long mAllowance;
    private long mAllowanceEndsAt;
    private long mSpent;
    private long mRefunded;
    private Optional<Report> mReport = Optional.empty();
    private Optional<LastAnswer> mLastAnswer = Optional.empty();
    private Optional<LocalBucket> mBucket = Optional.empty();

    /**
     * Creates the state of a team that control was never asked about.
     *
     * @param quota the quota of the team
     * @param gateways how many gateways share it
     * @param clock the time source
     */
    LocalQuota(TeamQuota quota, int gateways, Clock clock) {
        mClock = clock;
        mQuota = quota;
        mGateways = Math.max(1, gateways);
    }

    /** What control was last told and has not answered. */
    private record Report(long spent, long spentAlone, long refunded) {}

    /** What control last told. */
    private record LastAnswer(long level, double share, long receivedAt) {}

    TeamQuota quota() {
        return mQuota;
    }

    /** Applies the quota and the number of gateways that are now configured. */
    void update(TeamQuota quota, int gateways) {
        if (quota.equals(mQuota) && gateways == mGateways) {
            return;
        }
        if (!quota.equals(mQuota)) {
            // Control granted it under the earlier quota.
            mAllowance = 0;
        }
        mQuota = quota;
        mGateways = Math.max(1, gateways);
        mBucket.ifPresent(bucket -> bucket.resize(rate(), capacity()));
    }

    /** Spends units from the allowance if they fit in; returns whether they did. */
    boolean trySpendAllowance(long units) {
        if (mClock.millis() >= mAllowanceEndsAt || units > mAllowance) {
            return false;
        }
        mAllowance -= units;
        mSpent += units;
        return true;
    }

    /** Charges a request to the gateway's own part of the quota; returns whether it is granted. */
    boolean tryChargeAlone(long units) {
        if (mBucket.isEmpty()) {
            mBucket = Optional.of(new LocalBucket(rate(), capacity(), firstLevel(), mClock));
        }
        return mBucket.get().tryCharge(units);
    }

    /** Returns how the gateway refuses a request that it decided about alone. */
    QuotaDecision.Refused refusedAlone() {
        return refused(mBucket.map(LocalBucket::millisecondsUntilPositive).orElse(0L));
    }

    /** Returns how the gateway refuses a request, with what is known about the team. */
    QuotaDecision.Refused refused(long retryMilliseconds) {
        return new QuotaDecision.Refused(
                retryMilliseconds,
                mLastAnswer.map(LastAnswer::level).orElse(0L),
                mLastAnswer.map(answer -> mClock.millis() - answer.receivedAt()).orElse(-1L));
    }

    /** Returns the units of a granted request that did not run. */
    void refund(long units) {
        mRefunded += units;
        mBucket.ifPresent(bucket -> bucket.refund(units));
    }

    /** Returns whether control is to be told something, or was missed when it was needed. */
    boolean hasReport() {
        return mSpent > 0 || mRefunded > 0 || mBucket.isPresent();
    }

    /** Returns what to tell control; until the answer, it counts as not told. */
    TeamDemand demand(String team, List<Long> requested) {
        Report report =
                new Report(mSpent, mBucket.map(LocalBucket::unreported).orElse(0L), mRefunded);
        mReport = Optional.of(report);
        TeamDemand.Builder demand =
                TeamDemand.newBuilder()
                        .setTeam(team)
                        .addAllRequested(requested)
                        .setSpent(report.spent() + report.spentAlone())
                        .setRefunded(report.refunded());
        mLastAnswer.ifPresent(
                answer ->
                        demand.setHasLevel(true)
                                .setLevel(answer.level())
                                .setLevelAgeMilliseconds(mClock.millis() - answer.receivedAt()));
        return demand.build();
    }

    /**
     * Applies the answer to the last demand.
     *
     * @param grant the answer
     * @param askedAt when the demand was sent
     */
    void answered(TeamGrant grant, long askedAt) {
        Report report = takeReport();
        mSpent -= report.spent();
        mRefunded -= report.refunded();
        mBucket.ifPresent(
                bucket -> {
                    bucket.reported(report.spentAlone());
                    mSpent += bucket.unreported();
                });
        mBucket = Optional.empty();
        mLastAnswer =
                Optional.of(new LastAnswer(grant.getLevel(), grant.getShare(), mClock.millis()));
        // Control did not know of units that were spent since the demand.
        mAllowance = Math.max(0, grant.getAllowance() - mSpent);
        // Counted from the demand: a gateway may have been frozen before it read the answer.
        mAllowanceEndsAt = askedAt + ALLOWANCE_MILLISECONDS;
    }

    /** Notes that control did not count the last demand. */
    void notCounted() {
        takeReport();
    }

    /**
     * Notes that control may have counted the last demand. What was spent is told again, so that
     * the team is charged twice rather than too little; what was refunded is not.
     */
    void lost() {
        mRefunded -= takeReport().refunded();
    }

    private Report takeReport() {
        Report report = mReport.orElse(new Report(0, 0, 0));
        mReport = Optional.empty();
        return report;
    }

    private double rate() {
        return mQuota.unitsPerSecond() * share();
    }

    private double capacity() {
        return mQuota.burst() * share();
    }

    private double share() {
        double equalShare = 1.0 / mGateways;
        return mLastAnswer
                .map(answer -> Math.clamp(answer.share(), equalShare / 2, 1.0))
                .orElse(equalShare);
    }

    /** Returns the gateway's part of the level that the team has by now as far as is known. */
    private double firstLevel() {
        return mLastAnswer
                .map(
                        answer -> {
                            double seconds =
                                    (mClock.millis() - answer.receivedAt())
                                            / MILLISECONDS_PER_SECOND;
                            double level = answer.level() + mQuota.unitsPerSecond() * seconds;
                            return (Math.min(level, mQuota.burst()) - mSpent) * share();
                        })
                .orElse(capacity());
    }
}
