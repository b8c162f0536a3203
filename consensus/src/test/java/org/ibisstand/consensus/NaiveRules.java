package org.ibisstand.consensus;

import java.util.Set;

/** Rules that each lack one condition of {@link SafetyRules}. */
enum NaiveRules {
    COMMITS_OLDER_TERMS_BY_COUNTING(
            new SafetyRules() {
                @Override
                boolean mayCommit(long entryTerm, long currentTerm) {
                    return true;
                }
            }),
    VOTES_BEFORE_SYNC(
            new SafetyRules() {
                @Override
                boolean mayRelease(Message message, long required, long persisted) {
                    return message instanceof Message.VoteReply
                            || super.mayRelease(message, required, persisted);
                }
            }),
    ACKNOWLEDGES_BEFORE_SYNC(
            new SafetyRules() {
                @Override
                boolean mayRelease(Message message, long required, long persisted) {
                    return message instanceof Message.AppendReply
                            || super.mayRelease(message, required, persisted);
                }
            }),
    COUNTS_LEARNERS(
            new SafetyRules() {
                @Override
                Set<MemberIdentifier> electorate(Membership membership) {
                    return membership.members().keySet();
                }
            }),
    READS_WITHOUT_MAJORITY(
            new SafetyRules() {
                @Override
                boolean mayAnswerRead(int confirmations, int electorate) {
                    return true;
                }
            }),
    READS_BEFORE_OWN_COMMIT(
            new SafetyRules() {
                @Override
                boolean mayStartRead(boolean committedInTerm) {
                    return true;
                }
            }),
    VOTES_FOR_OLDER_LOGS(
            new SafetyRules() {
                @Override
                boolean isUpToDate(long lastTerm, long lastIndex, long ownTerm, long ownIndex) {
                    return true;
                }
            }),
    OVERLAPS_MEMBERSHIP_CHANGES(
            new SafetyRules() {
                @Override
                boolean mayChangeMembership(boolean committedInTerm, boolean changePending) {
                    return true;
                }
            });

    private final SafetyRules mRules;

    NaiveRules(SafetyRules rules) {
        mRules = rules;
    }

    SafetyRules rules() {
        return mRules;
    }
}
