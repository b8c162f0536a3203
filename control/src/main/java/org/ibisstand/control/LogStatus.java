package org.ibisstand.control;

import java.util.List;
import java.util.Optional;

/**
 * What a member knows of its log.
 *
 * @param role what the member is in its term
 * @param term the term that it knows of
 * @param leaderAddress host and port of the leader, while this member is in touch with it
 * @param committedIndex the last entry known to be committed
 * @param appliedIndex the last entry that the state machine has applied
 * @param members all members, in order of their names
 */
public record LogStatus(
        Role role,
        long term,
        Optional<String> leaderAddress,
        long committedIndex,
        long appliedIndex,
        List<LogMember> members) {
    /** Copies the list, so that a status never changes. */
    public LogStatus {
        members = List.copyOf(members);
    }

    /** Returns whether the member leads as far as it knows. */
    public boolean leads() {
        return role == Role.LEADER;
    }

    /** Returns this status for a member that takes no part in its group any more. */
    LogStatus outOfTouch() {
        return new LogStatus(
                Role.CANDIDATE, term, Optional.empty(), committedIndex, appliedIndex, members);
    }

    /** What a member is in its term. */
    public enum Role {
        LEADER,
        CANDIDATE,
        FOLLOWER,
        LEARNER
    }
}
