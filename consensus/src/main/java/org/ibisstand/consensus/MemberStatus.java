package org.ibisstand.consensus;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a member knows about itself and its cluster.
 *
 * @param self the member
 * @param leading whether it leads
 * @param term its newest term
 * @param leader the leader of that term, if known
 * @param membership the members after the last entry of its log
 * @param commitIndex the last entry known to be committed
 * @param lastIndex the last entry of its log
 * @param lastTerm the term of that entry
 * @param snapshotIndex the last entry that its snapshot covers
 * @param caughtUp for a leader: the members that follow closely enough to get a vote
 * @param silences for a leader: the time since each other member answered, or since the leader's
 *     term began or the member was added if that is shorter
 */
public record MemberStatus(
        MemberIdentifier self,
        boolean leading,
        long term,
        Optional<MemberIdentifier> leader,
        Membership membership,
        long commitIndex,
        long lastIndex,
        long lastTerm,
        long snapshotIndex,
        Set<MemberIdentifier> caughtUp,
        Map<MemberIdentifier, Duration> silences) {}
