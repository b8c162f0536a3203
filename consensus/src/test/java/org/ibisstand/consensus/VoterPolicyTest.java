package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a group that counts members which are gone, leaves ready learners without a vote,
 * or takes the vote of a member that may come back while the group needs it.
 */
class VoterPolicyTest {
    private static final Duration CONTACT_TIMEOUT = Duration.ofMillis(800);
    private static final Duration REMOVAL_SILENCE = Duration.ofSeconds(2);
    private static final Duration SHORT_SILENCE = Duration.ofMillis(1_500);
    private static final long COMMITTED = 100;
    private static final int MAXIMUM_STEPS = 20;

    private final VoterPolicy mPolicy =
            new VoterPolicy(CONTACT_TIMEOUT, Optional.of(REMOVAL_SILENCE));
    private final List<Member> mMembers = new ArrayList<>();
    private final Set<String> mEstablished = new HashSet<>();
    private final Set<MemberIdentifier> mDeparting = new HashSet<>();
    private final Set<MemberIdentifier> mCaughtUp = new HashSet<>();
    private final Map<MemberIdentifier, Duration> mSilences = new HashMap<>();

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7})
    void aHealthyGroupIsLeftAlone(int voters) {
        addVoters(voters);

        assertThat(nextChange()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6})
    void aLearnerThatHasCaughtUpGetsItsVote(int voters) {
        addVoters(voters);
        MemberIdentifier learner = add("learner.1", false);

        assertThat(nextChange()).hasValue(new MembershipChange.Promote(learner));
    }

    @Test
    void aLearnerThatLagsGetsNoVote() {
        addVoters(3);
        mCaughtUp.remove(add("learner.1", false));

        assertThat(nextChange()).isEmpty();
    }

    @Test
    void aLearnerWithoutContactGetsNoVote() {
        addVoters(3);
        mSilences.put(add("learner.1", false), SHORT_SILENCE);

        assertThat(nextChange()).isEmpty();
    }

    /** Guards against a group that is short of a voter between the two steps of an exchange. */
    @ParameterizedTest
    @ValueSource(ints = {3, 5, 7})
    void aSuccessorGetsTheVoteBeforeTheSilentVoterLosesIt(int voters) {
        MemberIdentifier gone = addVoters(voters);
        mSilences.put(gone, REMOVAL_SILENCE);
        MemberIdentifier successor = add("successor.1", false);

        assertThat(nextChange()).hasValue(new MembershipChange.Promote(successor));

        promote(successor);
        assertThat(nextChange()).hasValue(new MembershipChange.Remove(gone));

        remove(gone);
        assertThat(nextChange()).isEmpty();
    }

    /** Guards against a learner that waits while the group bears one loss less without it. */
    @Test
    void aSuccessorGetsTheVoteWhileItIsUnclearWhetherAVoterIsGone() {
        MemberIdentifier silent = addVoters(3);
        mSilences.put(silent, SHORT_SILENCE);
        MemberIdentifier successor = add("successor.1", false);

        assertThat(nextChange()).hasValue(new MembershipChange.Promote(successor));

        promote(successor);
        assertThat(nextChange()).isEmpty();
        mSilences.put(silent, REMOVAL_SILENCE);
        assertThat(nextChange()).hasValue(new MembershipChange.Remove(silent));
    }

    /** Guards against one learner that takes the places of several silent voters. */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 7})
    void aReadyLearnerReplacesOneSilentVoterAndNoMore(int established) {
        addVoters(established);
        for (Member voter : mMembers.subList(1, established)) {
            mSilences.put(voter.identifier(), REMOVAL_SILENCE);
        }
        add("learner.1", false);

        applyChanges();

        assertThat(voters()).isEqualTo(established - (established + 1) % 2);
        assertThat(mMembers.stream().map(Member::identifier))
                .contains(new MemberIdentifier("learner.1"));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 5, 7})
    void aSilentVoterOfAnOddGroupKeepsItsVoteUntilALearnerIsReady(int voters) {
        mSilences.put(addVoters(voters), Duration.ofMinutes(1));

        assertThat(nextChange()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 6})
    void aGroupAboveItsMinimumGivesUpTheVoterThatIsSilentLongest(int voters) {
        MemberIdentifier longest = addVoters(voters);
        mSilences.put(longest, REMOVAL_SILENCE.plusSeconds(1));
        mSilences.put(mMembers.get(1).identifier(), REMOVAL_SILENCE);

        assertThat(nextChange()).hasValue(new MembershipChange.Remove(longest));
    }

    /** Guards against voters that are gone and count for ever after planned replacements. */
    @Test
    void anOddGroupAboveItsMinimumGivesUpAllVotersThatAreGone() {
        addVoters(3);
        mSilences.put(mMembers.get(1).identifier(), REMOVAL_SILENCE);
        mSilences.put(mMembers.get(2).identifier(), REMOVAL_SILENCE);
        add("successor.1", true);
        add("successor.2", true);

        applyChanges();

        assertThat(mMembers.stream().map(member -> member.identifier().value()))
                .containsExactly("voter-1.1", "successor.1", "successor.2");
    }

    /** Guards against the time in which a voter that was stopped as planned counts as one. */
    @Test
    void aVoterThatIsAboutToStopGoesAtOnceIfItsSuccessorIsThere() {
        addVoters(3);
        MemberIdentifier departing = mMembers.get(1).identifier();
        mDeparting.add(departing);
        assertThat(nextChange()).isEmpty();
        assertThat(mPolicy.mayDepart(status().membership(), departing)).isFalse();

        MemberIdentifier successor = add("successor.1", false);
        assertThat(mPolicy.mayDepart(status().membership(), departing)).isTrue();
        assertThat(nextChange()).hasValue(new MembershipChange.Promote(successor));

        promote(successor);
        assertThat(nextChange()).hasValue(new MembershipChange.Remove(departing));

        remove(departing);
        assertThat(nextChange()).isEmpty();
        assertThat(mPolicy.mayDepart(status().membership(), departing)).isFalse();
    }

    @Test
    void aLearnerThatIsAboutToStopGetsNoVote() {
        addVoters(3);
        mDeparting.add(add("learner.1", false));

        assertThat(nextChange()).isEmpty();
    }

    @Test
    void aGroupOfAnEarlierReleaseKeepsAnOddNumberOfVoters() {
        addVoters(4);
        mEstablished.clear();
        mSilences.put(mMembers.get(2).identifier(), REMOVAL_SILENCE);
        mSilences.put(mMembers.get(3).identifier(), REMOVAL_SILENCE);

        applyChanges();

        assertThat(voters()).isEqualTo(3);
    }

    @Test
    void aLearnerThatIsGoneIsRemoved() {
        addVoters(3);
        MemberIdentifier gone = add("learner.1", false);
        mSilences.put(gone, REMOVAL_SILENCE);

        assertThat(nextChange()).hasValue(new MembershipChange.Remove(gone));
    }

    @Test
    void aLearnerStandsByWhileTheGroupHasItsLargestNumberOfVoters() {
        addVoters(Membership.MAXIMUM_VOTERS);
        add("learner.1", false);

        assertThat(nextChange()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aMemberThatLostItsDiskIsReplacedByItsNamesakeOnceThatHasCaughtUp(boolean operatorOnly) {
        addVoters(2);
        MemberIdentifier lost = add("voter.lost", true);
        MemberIdentifier successor = add("voter.new", false);
        VoterPolicy policy =
                operatorOnly ? new VoterPolicy(CONTACT_TIMEOUT, Optional.empty()) : mPolicy;

        assertThat(policy.nextChange(status(), Set.of()))
                .hasValue(new MembershipChange.Remove(lost));
        mCaughtUp.remove(successor);
        assertThat(policy.nextChange(status(), Set.of())).isEmpty();
    }

    /** Guards against a returning member that takes the place of a silent one instead. */
    @Test
    void aVoterWithALostDiskGoesBeforeOneThatIsSilent() {
        addVoters(3);
        mSilences.put(mMembers.get(2).identifier(), REMOVAL_SILENCE);
        MemberIdentifier successor = add("voter-2.2", false);
        MemberIdentifier lost = mMembers.get(1).identifier();

        assertThat(nextChange()).hasValue(new MembershipChange.Remove(lost));

        remove(lost);
        assertThat(nextChange()).hasValue(new MembershipChange.Promote(successor));
    }

    @Test
    void aSilentMemberStaysWhereOnlyOperatorsRemoveMembers() {
        mSilences.put(addVoters(4), Duration.ofHours(1));
        MemberIdentifier learner = add("learner.1", false);

        assertThat(
                        new VoterPolicy(CONTACT_TIMEOUT, Optional.empty())
                                .nextChange(status(), Set.of()))
                .hasValue(new MembershipChange.Promote(learner));
    }

    /** Adds voters that answer, the leader first, and returns the last one. */
    private MemberIdentifier addVoters(int count) {
        for (int number = 1; number <= count; number++) {
            add("voter-" + number + ".1", true);
            mEstablished.add("voter-" + number);
        }
        return mMembers.getLast().identifier();
    }

    private MemberIdentifier add(String value, boolean voting) {
        MemberIdentifier identifier = new MemberIdentifier(value);
        mMembers.add(new Member(identifier, "address", voting));
        mCaughtUp.add(identifier);
        mSilences.put(identifier, Duration.ZERO);
        return identifier;
    }

    private void promote(MemberIdentifier learner) {
        mMembers.replaceAll(
                member ->
                        member.identifier().equals(learner)
                                ? new Member(learner, member.address(), true)
                                : member);
    }

    private void remove(MemberIdentifier removed) {
        mMembers.removeIf(member -> member.identifier().equals(removed));
    }

    /** Applies the changes that the policy asks for until it asks for none. */
    private void applyChanges() {
        for (int steps = 0; steps < MAXIMUM_STEPS; steps++) {
            switch (nextChange().orElse(null)) {
                case MembershipChange.Promote change -> promote(change.member());
                case MembershipChange.Remove change -> remove(change.member());
                case null -> {
                    return;
                }
                default -> throw new AssertionError("not a change of the policy");
            }
        }
        throw new AssertionError("the policy does not come to an end");
    }

    private long voters() {
        return mMembers.stream().filter(Member::voting).count();
    }

    private Optional<MembershipChange> nextChange() {
        return mPolicy.nextChange(status(), mDeparting);
    }

    private MemberStatus status() {
        MemberIdentifier leader = mMembers.getFirst().identifier();
        return new MemberStatus(
                leader,
                true,
                1,
                Optional.of(leader),
                Membership.of(mMembers, "group", mEstablished),
                COMMITTED,
                COMMITTED,
                1,
                0,
                mCaughtUp,
                mSilences);
    }
}
