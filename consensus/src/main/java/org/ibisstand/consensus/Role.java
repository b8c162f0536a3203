package org.ibisstand.consensus;

import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** What a member currently is in its term. */
sealed interface Role {
    /**
     * Follows a leader, or waits for one.
     *
     * @param leader the leader of the term, if known
     * @param lastHeard when the leader last sent something
     */
    record Follower(Optional<MemberIdentifier> leader, Instant lastHeard) implements Role {}

    /**
     * Collects votes.
     *
     * @param preliminary whether it only asks if votes would be granted
     * @param granted the members that granted theirs
     */
    record Candidate(boolean preliminary, Set<MemberIdentifier> granted) implements Role {
        Candidate(boolean preliminary) {
            this(preliminary, new HashSet<>());
        }
    }

    /**
     * Leads the term.
     *
     * @param leadership what the leader keeps about the others and about open requests
     */
    record Leader(Leadership leadership) implements Role {}
}
