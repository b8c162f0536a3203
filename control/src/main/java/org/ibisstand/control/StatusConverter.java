package org.ibisstand.control;

import java.util.List;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberStatus;

/** Converts a status of the consensus module to a {@link LogStatus}. */
final class StatusConverter {
    private StatusConverter() {}

    static LogStatus toLogStatus(MemberStatus status, long appliedIndex) {
        List<LogMember> members =
                status.membership().members().values().stream()
                        .map(
                                member ->
                                        new LogMember(
                                                member.identifier().value(),
                                                member.address(),
                                                member.voting()))
                        .toList();
        return new LogStatus(
                role(status),
                status.term(),
                status.leader().flatMap(status.membership()::member).map(Member::address),
                status.commitIndex(),
                appliedIndex,
                status.lastIndex(),
                status.lastTerm(),
                members);
    }

    private static LogStatus.Role role(MemberStatus status) {
        if (status.leading()) {
            return LogStatus.Role.LEADER;
        }
        if (!status.membership().isVoter(status.self())) {
            return LogStatus.Role.LEARNER;
        }
        return status.leader().isPresent() ? LogStatus.Role.FOLLOWER : LogStatus.Role.CANDIDATE;
    }
}
