package org.ibisstand.consensus;

import java.util.Set;

/**
 * The conditions that safety depends on, one method each, so that tests can override one and show
 * what breaks without it.
 */
class SafetyRules {
    /** Only entries of the leader's own term are committed by counting copies. */
    boolean mayCommit(long entryTerm, long currentTerm) {
        return entryTerm == currentTerm;
    }

    /** A message is sent only once the state it depends on is durable. */
    boolean mayRelease(Message message, long requiredSequence, long persistedSequence) {
        return requiredSequence <= persistedSequence;
    }

    /** Only voters count, never learners. */
    Set<MemberIdentifier> electorate(Membership membership) {
        return membership.voters();
    }

    /** A read needs a majority that followed the leader after the read arrived. */
    boolean mayAnswerRead(int confirmations, int electorate) {
        return confirmations > electorate / 2;
    }

    /** A vote goes only to a candidate whose log is at least as new. */
    boolean isUpToDate(long lastTerm, long lastIndex, long ownLastTerm, long ownLastIndex) {
        return lastTerm > ownLastTerm || (lastTerm == ownLastTerm && lastIndex >= ownLastIndex);
    }

    /** Members change one at a time, by a leader that has committed in its own term. */
    boolean mayChangeMembership(boolean committedInTerm, boolean changePending) {
        return committedInTerm && !changePending;
    }

    /** A leader's read index counts only after it has committed in its own term. */
    boolean mayStartRead(boolean committedInTerm) {
        return committedInTerm;
    }
}
