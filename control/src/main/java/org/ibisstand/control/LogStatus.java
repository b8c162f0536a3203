package org.ibisstand.control;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.ibisstand.fleet.MemberList;

/**
 * The status of a log as known to one member.
 *
 * @param role the role of the member in its term
 * @param term the latest term that the member knows of
 * @param leaderAddress the host and port of the leader, while this member knows one
 * @param committedIndex the index of the last entry known to be committed
 * @param appliedIndex the index of the last entry that the state machine has applied
 * @param lastIndex the index of the last entry of the log
 * @param lastTerm the term of that entry
 * @param members all members, in order of their names
 */
public record LogStatus(
        Role role,
        long term,
        Optional<String> leaderAddress,
        long committedIndex,
        long appliedIndex,
        long lastIndex,
        long lastTerm,
        List<LogMember> members) {
    /** Copies the list, so that the status is immutable. */
    public LogStatus {
        members = List.copyOf(members);
    }

    /** Returns whether the member believes itself to be the leader. */
    public boolean leads() {
        return role == Role.LEADER;
    }

    /** Returns the list of the members for processes that follow them. */
    MemberList memberList() {
        return new MemberList(
                members.stream().map(LogMember::address).collect(Collectors.toSet()),
                lastTerm,
                lastIndex);
    }

    /** Returns this status without a leader, for a member that stopped after a failure. */
    LogStatus withoutLeader() {
        return new LogStatus(
                Role.CANDIDATE,
                term,
                Optional.empty(),
                committedIndex,
                appliedIndex,
                lastIndex,
                lastTerm,
                members);
    }

    /** The role of a member in its term. */
    public enum Role {
        LEADER,
        CANDIDATE,
        FOLLOWER,
        LEARNER
    }
}
