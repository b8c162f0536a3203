package org.ibisstand.consensus;

import java.util.Set;

/** Faulty variants of {@link SafetyRules}, each with one safety condition removed. */
enum UnsafeRules {
    COMMITS_OLDER_TERMS_BY_COUNTING(
            46_500,
            new SafetyRules() {
                @Override
                boolean mayCommit(long entryTerm, long currentTerm) {
                    return true;
                }
            }),
    VOTES_BEFORE_SYNC(
            3_700,
            new SafetyRules() {
                @Override
                boolean mayRelease(Message message, long required, long persisted) {
                    return message instanceof Message.VoteReply
                            || super.mayRelease(message, required, persisted);
                }
            }),
    ACKNOWLEDGES_BEFORE_SYNC(
            0,
            new SafetyRules() {
                @Override
                boolean mayRelease(Message message, long required, long persisted) {
                    return message instanceof Message.AppendReply
                            || super.mayRelease(message, required, persisted);
                }
            }),
    COUNTS_LEARNERS_AS_VOTERS(
            0,
            new SafetyRules() {
                @Override
                Set<MemberIdentifier> electorate(Membership membership) {
                    return membership.members().keySet();
                }
            }),
    READS_WITHOUT_MAJORITY(
            100,
            new SafetyRules() {
                @Override
                boolean mayAnswerRead(int confirmations, int electorate) {
                    return true;
                }
            }),
    READS_BEFORE_OWN_COMMIT(
            0,
            new SafetyRules() {
                @Override
                boolean mayStartRead(boolean committedInTerm) {
                    return true;
                }
            }),
    VOTES_FOR_STALE_LOGS(
            0,
            new SafetyRules() {
                @Override
                boolean isUpToDate(long lastTerm, long lastIndex, long ownTerm, long ownIndex) {
                    return true;
                }
            }),
    OVERLAPS_MEMBERSHIP_CHANGES(
            1_400,
            new SafetyRules() {
                @Override
                boolean mayChangeMembership(boolean committedInTerm, boolean changePending) {
                    return true;
                }
            });

    private final long mFirstSeed;
    private final SafetyRules mRules;

    UnsafeRules(long firstSeed, SafetyRules rules) {
        mFirstSeed = firstSeed;
        mRules = rules;
    }

    /** Returns the first seed to try; starting there finds rare failing schedules sooner. */
    long firstSeed() {
        return mFirstSeed;
    }

    SafetyRules rules() {
        return mRules;
    }
}
