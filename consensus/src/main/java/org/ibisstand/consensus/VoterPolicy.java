package org.ibisstand.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides which member gets a vote next and which one loses it. The leader asks for one change at a
 * time; everything is decided from the log and the contacts of the moment, so that a new leader
 * goes on where the last one stopped.
 *
 * <p>A voter whose disk was lost can never answer again, so it is removed as soon as the member on
 * the new disk is ready to take its place. Any other voter that does not answer may be gone for
 * good or may come back with its disk, and nothing tells which. A group therefore keeps at least
 * {@link Membership#minimumVoters()} voters: a learner that is ready gets its vote first, and then
 * the voter that it replaces is removed. Above that number each voter that is gone costs the group
 * one of the losses that it tolerates, so those that do not answer are removed, one at a time. A
 * member that is about to stop says so, and loses its vote in the same way while it still answers.
 * A removed member that answers again asks to be added and returns as a learner.
 */
public final class VoterPolicy {
    /** Learners beyond the voters: one that follows as a standby and one that takes a place. */
    public static final int MAXIMUM_MEMBERS = Membership.MAXIMUM_VOTERS + 2;

    private final Duration mContactTimeout;
    private final Optional<Duration> mRemovalSilence;

    /**
     * Creates a policy.
     *
     * @param contactTimeout the silence after which a member counts as out of contact
     * @param removalSilence the silence after which a member may be removed; empty if only
     *     operators remove members
     */
    public VoterPolicy(Duration contactTimeout, Optional<Duration> removalSilence) {
        mContactTimeout = contactTimeout;
        mRemovalSilence = removalSilence;
    }

    /**
     * Returns the change that a leader starts next, if one is due.
     *
     * @param status the status of the leader
     * @param departing the members that are about to stop
     */
    public Optional<MembershipChange> nextChange(
            MemberStatus status, Set<MemberIdentifier> departing) {
        Membership membership = status.membership();
        Optional<MemberIdentifier> learner = findReadyLearner(status, departing);
        Optional<MemberIdentifier> lost = findLostMember(status);
        Optional<MemberIdentifier> leaving =
                findDepartingVoter(status, departing).or(() -> findSilentVoter(status));
        int voters = membership.voters().size();
        if (lost.isPresent()) {
            return lost.map(MembershipChange.Remove::new);
        }
        if (leaving.isPresent() && voters > membership.minimumVoters()) {
            return leaving.map(MembershipChange.Remove::new);
        }
        boolean hasRoom = voters < Membership.MAXIMUM_VOTERS;
        // An exchange needs room for one more voter until the other one is removed.
        boolean mayExchange = leaving.isPresent() && voters == Membership.MAXIMUM_VOTERS;
        return learner.filter(unused -> hasRoom || mayExchange)
                .<MembershipChange>map(MembershipChange.Promote::new)
                .or(() -> findSilentLearner(status).map(MembershipChange.Remove::new));
    }

    /**
     * Returns whether a member that is about to stop can give back a vote: it has one, and the
     * group has voters to spare or a learner that may take the vote.
     *
     * @param membership the present members
     * @param member the member that is about to stop
     */
    public boolean mayDepart(Membership membership, MemberIdentifier member) {
        int voters = membership.voters().size();
        return mRemovalSilence.isPresent()
                && membership.isVoter(member)
                && (voters > membership.minimumVoters() || voters < membership.members().size());
    }

    /** Returns a learner that follows closely and answers. */
    private Optional<MemberIdentifier> findReadyLearner(
            MemberStatus status, Set<MemberIdentifier> departing) {
        return learners(status)
                .filter(learner -> isReady(learner, status) && !departing.contains(learner))
                .findFirst();
    }

    private Optional<MemberIdentifier> findDepartingVoter(
            MemberStatus status, Set<MemberIdentifier> departing) {
        return status.membership().voters().stream()
                .filter(voter -> mRemovalSilence.isPresent() && departing.contains(voter))
                .findFirst();
    }

    /** Returns a member whose disk was lost: a ready learner has its name and another disk. */
    private Optional<MemberIdentifier> findLostMember(MemberStatus status) {
        return learners(status)
                .filter(learner -> isReady(learner, status))
                .flatMap(learner -> namesakes(learner, status))
                .findFirst();
    }

    /** Returns the voter that has been silent longest, if that is long enough to remove it. */
    private Optional<MemberIdentifier> findSilentVoter(MemberStatus status) {
        return status.membership().voters().stream()
                .filter(voter -> isSilent(voter, status))
                .max(Comparator.comparing(voter -> silence(voter, status)));
    }

    private Optional<MemberIdentifier> findSilentLearner(MemberStatus status) {
        return learners(status).filter(learner -> isSilent(learner, status)).findFirst();
    }

    private static Stream<MemberIdentifier> learners(MemberStatus status) {
        return status.membership().members().values().stream()
                .filter(member -> !member.voting())
                .map(Member::identifier);
    }

    private static Stream<MemberIdentifier> namesakes(
            MemberIdentifier member, MemberStatus status) {
        return status.membership().members().keySet().stream()
                .filter(other -> other.name().equals(member.name()) && !other.equals(member));
    }

    private boolean isReady(MemberIdentifier learner, MemberStatus status) {
        return silence(learner, status).compareTo(mContactTimeout) <= 0
                && status.caughtUp().contains(learner);
    }

    private boolean isSilent(MemberIdentifier member, MemberStatus status) {
        return mRemovalSilence
                .filter(limit -> silence(member, status).compareTo(limit) >= 0)
                .isPresent();
    }

    private static Duration silence(MemberIdentifier member, MemberStatus status) {
        return status.silences().getOrDefault(member, Duration.ZERO);
    }
}
