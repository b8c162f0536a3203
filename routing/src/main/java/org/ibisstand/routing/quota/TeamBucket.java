package org.ibisstand.routing.quota;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.ibisstand.settings.TeamQuota;

/**
 * The token bucket of one team and the gateways that asked about the team of late.
 *
 * <p>A window may exceed the quota by a tenth of the burst. Part of it is headroom above the burst:
 * units are charged later than callers send their requests, and a full bucket is not refilled in
 * the meantime, so that without headroom a burst within the quota would be refused. The rest bounds
 * what all gateways together may spend from allowances before they report it.
 */
final class TeamBucket {
    /** How long a gateway counts as one that serves the team. */
    static final long RECENT_MILLISECONDS = 5_000;

    private static final double HEADROOM = 0.06;
    private static final double MAXIMUM_ALLOWANCES = 0.03;
    private static final double LEAST_LEVEL_FOR_ALLOWANCES = 0.25;

    /** Absorbs rounding where requests come exactly at the rate. */
    private static final double ROUNDING = 1e-6;

    private static final long SLOT_MILLISECONDS = 100;
    private static final int REFUSED_SLOTS = 10;

    /** An allowance, the longest time that its answer may take (300 ms), and a slot. */
    private static final int ALLOWANCE_SLOTS =
            (int) ((QuotaLedger.ALLOWANCE_MILLISECONDS + 300) / SLOT_MILLISECONDS) + 1;

    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final long MAXIMUM_RETRY_MILLISECONDS = 3_600_000;

    private final RecentUnits mUnits = GatewayUse.newUnits();
    private final RecentUnits mRefused = new RecentUnits(SLOT_MILLISECONDS, REFUSED_SLOTS);
    private final RecentUnits mAllowances = new RecentUnits(SLOT_MILLISECONDS, ALLOWANCE_SLOTS);

    /** The gateways in the order of their last questions. */
    private final Map<String, GatewayUse> mGateways = new LinkedHashMap<>(4, 0.75f, true);

    private TeamQuota mQuota;
    private double mLevel;

    /** The level without what was charged since the bucket was created. */
    private double mUnchargedLevel;

    private long mRefilledAt;
    private boolean mIsRebuilt;

    /** Creates a full bucket. */
    TeamBucket(TeamQuota quota, long now) {
        mQuota = quota;
        mLevel = capacity();
        mUnchargedLevel = mLevel;
        mRefilledAt = now;
    }

    /** Changes the quota; a higher burst adds the difference, a lower one caps the level. */
    void change(TeamQuota quota, long now) {
        if (quota.equals(mQuota)) {
            return;
        }
        refill(now);
        double previousCapacity = capacity();
        boolean isOtherUnit = quota.unit() != mQuota.unit();
        mQuota = quota;
        double added = Math.max(0, capacity() - previousCapacity);
        mLevel = isOtherUnit ? capacity() : Math.min(capacity(), mLevel + added);
        mUnchargedLevel = isOtherUnit ? capacity() : Math.min(capacity(), mUnchargedLevel + added);
    }

    /**
     * Charges a demand and answers it.
     *
     * @param gateway the gateway that asks
     * @param demand what it asks
     * @param now the present time in milliseconds
     * @param isRebuilding whether levels that gateways received from an earlier leader count
     * @param mayAddGateway whether a gateway that did not ask of late may be stored
     */
    QuotaGrant answer(
            String gateway,
            QuotaDemand demand,
            long now,
            boolean isRebuilding,
            boolean mayAddGateway) {
        refill(now);
        Optional<GatewayUse> known = Optional.ofNullable(mGateways.get(gateway));
        Optional<GatewayUse> use = known.isPresent() || !mayAddGateway ? known : add(gateway);
        // A level that a gateway reports for the second time may be one of this ledger, which
        // contains the charges since its start.
        if (isRebuilding && known.isEmpty() && use.isPresent()) {
            demand.lastLevel().ifPresent(this::rebuild);
        }
        use.ifPresent(present -> mAllowances.remove(now, present.lastAsked(), present.allowance()));
        double chargedBefore = Math.max(0, demand.spent());
        mLevel = Math.min(capacity(), mLevel - chargedBefore + Math.max(0, demand.refunded()));
        int granted = grant(demand);
        double charged = chargedBefore + sum(demand, 0, granted);
        mUnits.add(now, charged);
        use.ifPresent(present -> present.units().add(now, charged));
        long retryAfter = granted < demand.requested().size() ? refuse(demand, granted, now) : 0;
        boolean isActive = !demand.requested().isEmpty() || chargedBefore > 0;
        long allowance = use.isPresent() && isActive && !isRebuilding ? allowance(now) : 0;
        mAllowances.add(now, allowance);
        use.ifPresent(present -> present.answered(now, allowance));
        double share = use.map(present -> share(present, now)).orElse(0.0);
        return new QuotaGrant(
                demand.team(),
                granted,
                retryAfter,
                allowance,
                (long) Math.floor(mLevel),
                share,
                false);
    }

    /**
     * Lowers the level to one that a gateway received from an earlier leader, if it has not asked
     * yet.
     */
    void collect(String gateway, QuotaDemand.ReportedLevel level, long now) {
        refill(now);
        if (!mGateways.containsKey(gateway)) {
            rebuild(level);
            add(gateway).ifPresent(use -> use.answered(now, 0));
        }
    }

    /** Removes gateways that did not ask of late; returns how many. */
    int removeIdleGateways(long now) {
        int removed = 0;
        Iterator<GatewayUse> uses = mGateways.values().iterator();
        while (uses.hasNext() && now - uses.next().lastAsked() >= RECENT_MILLISECONDS) {
            uses.remove();
            removed++;
        }
        return removed;
    }

    int gatewayCount() {
        return mGateways.size();
    }

    /** Returns whether the bucket is the same as a new one. */
    boolean isUnused(long now) {
        refill(now);
        return mGateways.isEmpty() && mLevel >= capacity();
    }

    /** Returns whether a gateway reported a level below that of a full bucket. */
    boolean isRebuilt() {
        return mIsRebuilt;
    }

    private Optional<GatewayUse> add(String gateway) {
        GatewayUse use = new GatewayUse();
        mGateways.put(gateway, use);
        return Optional.of(use);
    }

    private void rebuild(QuotaDemand.ReportedLevel reported) {
        double level = reported.units() + unitsIn(Math.max(0, reported.ageMilliseconds()));
        if (level < mUnchargedLevel) {
            mLevel -= mUnchargedLevel - level;
            mUnchargedLevel = level;
            mIsRebuilt = true;
        }
    }

    private int grant(QuotaDemand demand) {
        int granted = 0;
        for (long units : demand.requested()) {
            if (!isAvailable()) {
                break;
            }
            mLevel -= Math.max(0, units);
            granted++;
        }
        return granted;
    }

    /**
     * Returns whether the next request is granted. Tokens may be overdrawn by one request, which
     * the tolerance of quotas in tokens covers; there is none for requests.
     */
    private boolean isAvailable() {
        return mLevel > leastLevel();
    }

    private double leastLevel() {
        return mQuota.unit() == TeamQuota.Unit.REQUEST ? 1 - ROUNDING : 0;
    }

    /** Records the units of the refused requests; returns when their callers may retry. */
    private long refuse(QuotaDemand demand, int granted, long now) {
        double units = leastLevel() - mLevel + mRefused.total(now);
        mRefused.add(now, sum(demand, granted, demand.requested().size()));
        double wait = Math.ceil(units * MILLISECONDS_PER_SECOND / mQuota.unitsPerSecond());
        return (long) Math.clamp(wait, 1, MAXIMUM_RETRY_MILLISECONDS);
    }

    private long allowance(long now) {
        if (mLevel < mQuota.burst() * LEAST_LEVEL_FOR_ALLOWANCES) {
            return 0;
        }
        double bound = Math.min(mLevel / 2, mQuota.burst() * MAXIMUM_ALLOWANCES);
        double free = bound - mAllowances.total(now);
        return (long) Math.max(0, Math.min(bound / mGateways.size(), free));
    }

    private double share(GatewayUse use, long now) {
        double total = mUnits.total(now);
        return total > 0 ? Math.min(1, use.units().total(now) / total) : 1.0 / mGateways.size();
    }

    private void refill(long now) {
        double added = unitsIn(Math.max(0, now - mRefilledAt));
        mLevel = Math.min(capacity(), mLevel + added);
        mUnchargedLevel = Math.min(capacity(), mUnchargedLevel + added);
        mRefilledAt = Math.max(mRefilledAt, now);
    }

    private double unitsIn(long milliseconds) {
        return milliseconds * mQuota.unitsPerSecond() / MILLISECONDS_PER_SECOND;
    }

    /** Returns the highest level; a bucket for less than one unit would grant nothing. */
    private double capacity() {
        return Math.max(1, mQuota.burst() * (1 + HEADROOM));
    }

    private static double sum(QuotaDemand demand, int from, int to) {
        double sum = 0;
        for (int index = from; index < to; index++) {
            sum += Math.max(0, demand.requested().get(index));
        }
        return sum;
    }
}
