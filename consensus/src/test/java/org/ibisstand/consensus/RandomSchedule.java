package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.consensus.SimulatedCluster.Target;

/** Runs a cluster under faults that a seed draws; the same seed always gives the same run. */
final class RandomSchedule {
    private static final long FORMED_MILLIS = 1_000;
    private static final long FAULTS_MILLIS = FORMED_MILLIS + 3_000;
    private static final long RECOVERY_MILLIS = 4_000;
    private static final int ACTION_INTERVAL_MILLIS = 20;

    private final SimulatedCluster mCluster;
    private Optional<MemberIdentifier> mToRemove = Optional.empty();
    private int mLosses;

    private RandomSchedule(SimulatedCluster cluster) {
        mCluster = cluster;
    }

    /** Runs the schedule of a seed, and fails if an invariant is broken. */
    static RandomSchedule run(long seed, int size, SafetyRules rules) {
        SimulatedCluster cluster = new SimulatedCluster(seed, size, rules);
        RandomSchedule schedule = new RandomSchedule(cluster);
        cluster.runUntil(FORMED_MILLIS);
        cluster.startLosses();
        schedule.scheduleAction();
        cluster.runUntil(FAULTS_MILLIS);
        schedule.recover();
        return schedule;
    }

    int losses() {
        return mLosses;
    }

    long trace() {
        return mCluster.trace();
    }

    long committed() {
        return mCluster.mInvariants.lastCommitted();
    }

    int reads() {
        return mCluster.mInvariants.reads();
    }

    private void scheduleAction() {
        mCluster.after(
                mCluster.mRandom.nextInt(2 * ACTION_INTERVAL_MILLIS),
                () -> {
                    if (mCluster.nowMillis() < FAULTS_MILLIS) {
                        act();
                        scheduleAction();
                    }
                });
    }

    private void act() {
        if (mCluster.mRandom.nextInt(8) == 0) {
            leaders().forEach(this::trouble);
        }
        SimulatedMember member = pick(mCluster.mMembers.values());
        switch (mCluster.mRandom.nextInt(40)) {
            case 0, 1 -> crash(member);
            case 2 -> mCluster.freeze(member, 1 + mCluster.mRandom.nextInt(700));
            case 3 -> cutBothWays(member);
            case 4 -> cutOneWay(member);
            case 5, 6 -> mCluster.healNetwork();
            case 7, 8 -> mCluster.compact(member);
            case 9 -> loseDisk(member);
            case 10 -> replaceVoter();
            case 11, 12, 13, 14, 15, 16 -> operate();
            case 17, 18, 19, 20, 21, 22, 23, 24 -> readSomewhere(member);
            default -> mCluster.propose(member);
        }
    }

    /** Hits a leader, since most faults elsewhere change little. */
    private void trouble(SimulatedMember leader) {
        switch (mCluster.mTarget) {
            case ANY -> {}
            case CRASHED_LEADERS -> crash(leader);
            case ISOLATED_LEADERS -> {
                switch (mCluster.mRandom.nextInt(3)) {
                    case 0 -> cutBothWays(leader);
                    case 1 -> cutOneWay(leader);
                    default -> mCluster.freeze(leader, 1 + mCluster.mRandom.nextInt(700));
                }
            }
        }
    }

    private void readSomewhere(SimulatedMember member) {
        mCluster.read(member);
        leaders().forEach(mCluster::read);
    }

    private void crash(SimulatedMember member) {
        if (!member.mUp || mCluster.mLost.contains(member.mIdentifier)) {
            return;
        }
        member.crash(mCluster.mRandom);
        int mostMillis = mCluster.mTarget == Target.CRASHED_LEADERS ? 100 : 500;
        mCluster.after(mCluster.mRandom.nextInt(mostMillis), () -> restart(member));
    }

    private void restart(SimulatedMember member) {
        if (!member.mUp && !mCluster.mLost.contains(member.mIdentifier)) {
            mCluster.start(member);
        }
    }

    private void cutBothWays(SimulatedMember member) {
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            mCluster.block(member.mIdentifier, other);
            mCluster.block(other, member.mIdentifier);
        }
    }

    private void cutOneWay(SimulatedMember member) {
        boolean outwards = mCluster.mRandom.nextBoolean();
        for (MemberIdentifier other : mCluster.mMembers.keySet()) {
            mCluster.block(
                    outwards ? member.mIdentifier : other, outwards ? other : member.mIdentifier);
        }
    }

    /** Loses a disk for good, as long as every membership in use keeps a majority. */
    private void loseDisk(SimulatedMember member) {
        if (!mayLose(member.mIdentifier)) {
            return;
        }
        mLosses++;
        member.mUp = false;
        member.mStarts++;
        mCluster.mLost.add(member.mIdentifier);
        mCluster.startBlank(mCluster.newIdentifier());
    }

    private boolean mayLose(MemberIdentifier candidate) {
        if (mCluster.mLost.contains(candidate)) {
            return false;
        }
        for (SimulatedMember member : mCluster.mMembers.values()) {
            if (mCluster.mLost.contains(member.mIdentifier)) {
                continue;
            }
            if (!member.mUp || !survives(member.mCore.status().membership(), candidate)) {
                return false;
            }
        }
        return true;
    }

    private boolean survives(Membership membership, MemberIdentifier candidate) {
        Set<MemberIdentifier> voters = membership.voters();
        long gone =
                voters.stream()
                        .filter(voter -> voter.equals(candidate) || mCluster.mLost.contains(voter))
                        .count();
        return voters.isEmpty() || gone <= (voters.size() - 1) / 2;
    }

    /** Brings in a new member to replace one that works. */
    private void replaceVoter() {
        if (mToRemove.isEmpty() && mCluster.mMembers.size() < 12) {
            mToRemove = Optional.of(pick(mCluster.mMembers.values()).mIdentifier);
            mCluster.startBlank(mCluster.newIdentifier());
        }
    }

    /** Does the next step of the operator's procedure at every member that leads. */
    private void operate() {
        for (SimulatedMember leader : leaders()) {
            nextChange(leader.mCore.status().membership())
                    .ifPresent(change -> mCluster.change(leader, change));
        }
    }

    private List<SimulatedMember> leaders() {
        return mCluster.mMembers.values().stream()
                .filter(member -> member.mUp && !member.mFrozen)
                .filter(member -> member.mCore.status().leading())
                .toList();
    }

    private Optional<MembershipChange> nextChange(Membership membership) {
        MemberIdentifier newest = List.copyOf(mCluster.mMembers.keySet()).getLast();
        boolean isWanted =
                !mCluster.mLost.contains(newest) && !mToRemove.equals(Optional.of(newest));
        if (membership.member(newest).isEmpty() && isWanted) {
            return Optional.of(new MembershipChange.AddLearner(newest, newest.value()));
        }
        Optional<MemberIdentifier> unwanted = unwanted(membership);
        if (unwanted.isPresent() && mCluster.mRandom.nextBoolean()) {
            return unwanted.map(MembershipChange.Remove::new);
        }
        Optional<MemberIdentifier> learner =
                membership.members().values().stream()
                        .filter(member -> !member.voting())
                        .map(Member::identifier)
                        .filter(member -> !mCluster.mLost.contains(member))
                        .findFirst();
        if (learner.isEmpty() && unwanted.isEmpty()) {
            mToRemove = Optional.empty();
        }
        return learner.<MembershipChange>map(MembershipChange.Promote::new);
    }

    /** Returns a lost or replaced member without which a majority works. */
    private Optional<MemberIdentifier> unwanted(Membership membership) {
        return membership.members().keySet().stream()
                .filter(
                        member ->
                                mCluster.mLost.contains(member)
                                        || mToRemove.equals(Optional.of(member)))
                .filter(member -> survives(membership.without(member), member))
                .findFirst();
    }

    /** Ends all faults, and checks that the cluster works and lost nothing. */
    private void recover() {
        mCluster.stopLosses();
        for (SimulatedMember member : mCluster.mMembers.values()) {
            restart(member);
            mCluster.thaw(member);
        }
        long before = mCluster.mInvariants.lastCommitted();
        long end = FAULTS_MILLIS;
        while (end < FAULTS_MILLIS + RECOVERY_MILLIS && !isRecovered(before)) {
            end += 200;
            mCluster.mMembers.values().stream()
                    .filter(member -> member.mUp)
                    .forEach(mCluster::propose);
            mCluster.runUntil(end);
        }
        assertWithMessage("the cluster commits again after all faults ended: %s", describe())
                .that(isRecovered(before))
                .isTrue();
    }

    private String describe() {
        StringBuilder description = new StringBuilder();
        for (SimulatedMember member : mCluster.mMembers.values()) {
            description.append(mCluster.mLost.contains(member.mIdentifier) ? "\nlost " : "\n");
            description.append(member.mCore.status());
        }
        return description.toString();
    }

    private boolean isRecovered(long before) {
        return mCluster.mMembers.values().stream()
                .filter(member -> member.mUp && member.mCore.status().leading())
                .anyMatch(member -> hasAll(member, before));
    }

    private boolean hasAll(SimulatedMember leader, long before) {
        return leader.mCore.status().membership().voters().stream()
                .filter(voter -> !mCluster.mLost.contains(voter))
                .allMatch(voter -> mCluster.mMembers.get(voter).mAppliedIndex > before);
    }

    private SimulatedMember pick(Collection<SimulatedMember> members) {
        return List.copyOf(members).get(mCluster.mRandom.nextInt(members.size()));
    }
}
