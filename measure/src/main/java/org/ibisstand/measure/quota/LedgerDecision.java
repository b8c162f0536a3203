package org.ibisstand.measure.quota;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.ibisstand.routing.quota.QuotaDemand;
import org.ibisstand.routing.quota.QuotaGrant;
import org.ibisstand.routing.quota.QuotaLedger;
import org.ibisstand.settings.TeamQuota;

/**
 * The product's ledger and gateways that ask it as the gateways of the product do: one question in
 * flight for all teams, one step to the leader and one back.
 */
final class LedgerDecision implements QuotaContender.Decision {
    /** As in the gateways: spending is reported after half the time that an allowance lasts. */
    private static final long REPORT_DELAY_MILLISECONDS = QuotaLedger.ALLOWANCE_MILLISECONDS / 2;

    private final Clock mClock;
    private final QuotaLedger mLedger;
    private final QuotaMeasurement mMeasurement;
    private final List<Gateway> mGateways = new ArrayList<>();

    LedgerDecision(Clock clock, QuotaMeasurement measurement) {
        mClock = clock;
        mMeasurement = measurement;
        mLedger = QuotaLedger.start(clock);
        Map<String, TeamQuota> quotas = new HashMap<>();
        for (int team = 0; team < measurement.load().teams(); team++) {
            quotas.put(Integer.toString(team), QuotaLoad.QUOTA);
        }
        mLedger.configure(quotas);
        for (int gateway = 0; gateway < QuotaLoad.GATEWAYS; gateway++) {
            mGateways.add(new Gateway("gateway-" + gateway));
        }
    }

    @Override
    public void decide(Arrival arrival) {
        mGateways.get(arrival.gateway()).decide(arrival);
    }

    @Override
    public void step() {
        mGateways.forEach(Gateway::step);
    }

    /** What a gateway knows of one team. */
    private static final class Team {
        private final List<Arrival> mWaiting = new ArrayList<>();
        private List<Arrival> mAsked = List.of();
        private long mAllowance;
        private long mAllowanceEnd;
        private long mSpent;
        private long mReportedSpent;
    }

    private final class Gateway {
        private final String mName;
        private final Map<Integer, Team> mTeams = new TreeMap<>();
        private List<QuotaDemand> mQuestion = List.of();
        private List<QuotaGrant> mAnswer = List.of();
        private long mAskedAt;
        private long mReportAt = Long.MAX_VALUE;

        Gateway(String name) {
            mName = name;
        }

        void decide(Arrival arrival) {
            Team team = mTeams.computeIfAbsent(arrival.team(), number -> new Team());
            if (mClock.millis() < team.mAllowanceEnd && arrival.units() <= team.mAllowance) {
                team.mAllowance -= arrival.units();
                team.mSpent += arrival.units();
                mReportAt = Math.min(mReportAt, mClock.millis() + REPORT_DELAY_MILLISECONDS);
                mMeasurement.decided(arrival, true);
            } else {
                team.mWaiting.add(arrival);
            }
        }

        void step() {
            if (!mAnswer.isEmpty()) {
                mAnswer.forEach(this::receive);
                mAnswer = List.of();
                mQuestion = List.of();
            } else if (!mQuestion.isEmpty()) {
                mAnswer = mLedger.answer(mName, mQuestion);
            }
            boolean isWaiting = mTeams.values().stream().anyMatch(team -> !team.mWaiting.isEmpty());
            if (mQuestion.isEmpty() && (isWaiting || mClock.millis() >= mReportAt)) {
                mReportAt = Long.MAX_VALUE;
                mAskedAt = mClock.millis();
                mQuestion = new ArrayList<>();
                mTeams.forEach(this::ask);
            }
        }

        private void ask(int number, Team team) {
            if (team.mWaiting.isEmpty() && team.mSpent == 0) {
                return;
            }
            team.mAsked = List.copyOf(team.mWaiting);
            team.mWaiting.clear();
            team.mReportedSpent = team.mSpent;
            List<Long> requested = team.mAsked.stream().map(Arrival::units).toList();
            // Levels matter to a new leader only, and the replay starts after that time.
            mQuestion.add(
                    new QuotaDemand(
                            Integer.toString(number),
                            requested,
                            team.mReportedSpent,
                            0,
                            Optional.empty()));
        }

        private void receive(QuotaGrant grant) {
            Team team = mTeams.get(Integer.parseInt(grant.team()));
            team.mSpent -= team.mReportedSpent;
            team.mAllowance = Math.max(0, grant.allowance() - team.mSpent);
            team.mAllowanceEnd = mAskedAt + QuotaLedger.ALLOWANCE_MILLISECONDS;
            for (int index = 0; index < team.mAsked.size(); index++) {
                mMeasurement.decided(team.mAsked.get(index), index < grant.granted());
            }
        }
    }
}
