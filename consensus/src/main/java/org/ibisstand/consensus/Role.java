package org.ibisstand.consensus;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** The role of a member in its current term. */
sealed interface Role {
    /**
     * Follows a leader, or waits for one.
     *
     * @param leader the leader of the term, if known
     * @param lastContact when the last message from the leader arrived
     */
    record Follower(Optional<MemberIdentifier> leader, Instant lastContact) implements Role {}

    /**
     * Collects votes.
     *
     * @param preliminary true for a pre-vote, which changes no term
     * @param granted the members that granted their vote
     */
    record Candidate(boolean preliminary, Set<MemberIdentifier> granted) implements Role {
        Candidate(boolean preliminary) {
            this(preliminary, new HashSet<>());
        }
    }

    /**
     * Leads the term.
     *
     * @param leadership the replication progress of each member and the pending requests
     */
    record Leader(Leadership leadership) implements Role {}
}
