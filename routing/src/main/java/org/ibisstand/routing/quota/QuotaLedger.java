package org.ibisstand.routing.quota;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.ibisstand.settings.TeamQuota;

/**
 * The units that each team with a quota has left, as the leader of control keeps them for all
 * gateways; not thread-safe.
 *
 * <p>Nothing is stored: a new leader starts a new ledger, which takes the levels from what gateways
 * report that they received before.
 */
public final class QuotaLedger {
    /** How long a gateway may spend an allowance. */
    public static final long ALLOWANCE_MILLISECONDS = 500;

    /** Long enough for each gateway to try all members, at 300 ms each. */
    private static final long REBUILD_MILLISECONDS = 2_000;

    private static final long CLEANUP_MILLISECONDS = 1_000;

    /**
     * Bounds the memory for gateways of teams, 200 bytes each. The design load needs 7,000, since
     * 1,400 requests per second are from at most that many pairs in 5 s.
     */
    private static final int MAXIMUM_GATEWAYS_OF_TEAMS = 32_768;

    private final Clock mClock;
    private final long mStartedAt;
    private final Map<String, TeamQuota> mQuotas = new HashMap<>();
    private final Map<String, TeamBucket> mBuckets = new HashMap<>();
    private int mGatewaysOfTeams;
    private long mNextCleanup;

    private QuotaLedger(Clock clock) {
        mClock = clock;
        mStartedAt = clock.millis();
    }

    /**
     * Starts a ledger in which all teams are without a quota.
     *
     * @param clock the time source, which must not jump
     */
    public static QuotaLedger start(Clock clock) {
        return new QuotaLedger(clock);
    }

    /**
     * Puts quotas in force in place of all earlier ones. Levels of teams whose quota is the same
     * stay as they are; teams that get a quota start with a full bucket.
     *
     * @param quotas the quotas by the names of their teams
     */
    public void configure(Map<String, TeamQuota> quotas) {
        long now = mClock.millis();
        mQuotas.clear();
        quotas.forEach(
                (team, quota) -> {
                    if (quota.hasLimit()) {
                        mQuotas.put(team, quota);
                    }
                });
        Iterator<Map.Entry<String, TeamBucket>> buckets = mBuckets.entrySet().iterator();
        while (buckets.hasNext()) {
            Map.Entry<String, TeamBucket> bucket = buckets.next();
            TeamQuota quota = mQuotas.get(bucket.getKey());
            if (quota == null) {
                mGatewaysOfTeams -= bucket.getValue().gatewayCount();
                buckets.remove();
            } else {
                bucket.getValue().change(quota, now);
            }
        }
    }

    /**
     * Charges and answers the demands of a gateway, in their order.
     *
     * @param gateway the process name of the gateway
     * @param demands what it asks and reports
     */
    public List<QuotaGrant> answer(String gateway, List<QuotaDemand> demands) {
        long now = mClock.millis();
        cleanUp(now);
        List<QuotaGrant> grants = new ArrayList<>(demands.size());
        for (QuotaDemand demand : demands) {
            TeamQuota quota = mQuotas.get(demand.team());
            grants.add(
                    quota == null
                            ? QuotaGrant.unlimited(demand)
                            : answer(gateway, demand, quota, now));
        }
        return grants;
    }

    /**
     * Takes only the levels of demands that are answered later. A new leader collects the levels of
     * many gateways before it answers the first of them; otherwise a gateway that never served a
     * team would get the full burst of an overloaded team.
     *
     * @param gateway the process name of the gateway
     * @param demands what it asks and reports
     */
    public void collect(String gateway, List<QuotaDemand> demands) {
        long now = mClock.millis();
        for (QuotaDemand demand : demands) {
            TeamQuota quota = mQuotas.get(demand.team());
            if (quota != null
                    && isRebuilding()
                    && demand.lastLevel().isPresent()
                    && mGatewaysOfTeams < MAXIMUM_GATEWAYS_OF_TEAMS) {
                TeamBucket bucket = bucket(demand.team(), quota, now);
                mGatewaysOfTeams -= bucket.gatewayCount();
                bucket.collect(gateway, demand.lastLevel().get(), now);
                mGatewaysOfTeams += bucket.gatewayCount();
            }
        }
    }

    /** Returns whether levels that gateways received from an earlier leader still count. */
    public boolean isRebuilding() {
        return mClock.millis() - mStartedAt < REBUILD_MILLISECONDS;
    }

    /** Returns the teams whose level was taken from the reports of gateways. */
    public List<String> rebuiltTeams() {
        return mBuckets.entrySet().stream()
                .filter(bucket -> bucket.getValue().isRebuilt())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }

    /** Returns how many teams have a quota. */
    public int teamCount() {
        return mQuotas.size();
    }

    /** Returns for how many gateways of all teams state is kept. */
    int gatewaysOfTeams() {
        return mGatewaysOfTeams;
    }

    /** Returns for how many teams state is kept. */
    int bucketCount() {
        return mBuckets.size();
    }

    private QuotaGrant answer(String gateway, QuotaDemand demand, TeamQuota quota, long now) {
        TeamBucket bucket = bucket(demand.team(), quota, now);
        mGatewaysOfTeams -= bucket.gatewayCount();
        bucket.removeIdleGateways(now);
        boolean mayAddGateway =
                mGatewaysOfTeams + bucket.gatewayCount() < MAXIMUM_GATEWAYS_OF_TEAMS;
        QuotaGrant grant = bucket.answer(gateway, demand, now, isRebuilding(), mayAddGateway);
        mGatewaysOfTeams += bucket.gatewayCount();
        return grant;
    }

    private TeamBucket bucket(String team, TeamQuota quota, long now) {
        return mBuckets.computeIfAbsent(team, name -> new TeamBucket(quota, now));
    }

    /** Removes what is the same as new: a team without a bucket has a full one. */
    private void cleanUp(long now) {
        if (now < mNextCleanup || isRebuilding()) {
            return;
        }
        mNextCleanup = now + CLEANUP_MILLISECONDS;
        mBuckets.values()
                .removeIf(
                        bucket -> {
                            mGatewaysOfTeams -= bucket.removeIdleGateways(now);
                            return bucket.isUnused(now);
                        });
    }
}
