package org.ibisstand.consensus;

import java.util.Set;

/** Rules that each lack one condition of {@link SafetyRules}. */
enum NaiveRules {
    COMMITS_OLDER_TERMS_BY_COUNTING(
            8_000,
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
    COUNTS_LEARNERS(
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
    VOTES_FOR_OLDER_LOGS(
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

    NaiveRules(long firstSeed, SafetyRules rules) {
        mFirstSeed = firstSeed;
        mRules = rules;
    }

    /** Returns where the search for a schedule begins; rare faults are found sooner from there. */
    long firstSeed() {
        return mFirstSeed;
    }

    SafetyRules rules() {
        return mRules;
    }
}
