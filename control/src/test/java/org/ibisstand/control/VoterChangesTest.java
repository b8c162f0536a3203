package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.Membership;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.consensus.VoterPolicy;
import org.junit.jupiter.api.Test;

/** Guards against a pause between the two steps of an exchange, in which a group bears less. */
class VoterChangesTest {
    private static final MemberIdentifier LEADER = new MemberIdentifier("leader.1");
    private static final MemberIdentifier FOLLOWER = new MemberIdentifier("follower.1");
    private static final MemberIdentifier GONE = new MemberIdentifier("gone.1");
    private static final MemberIdentifier SUCCESSOR = new MemberIdentifier("successor.1");

    private final List<MembershipChange> mChanges = new ArrayList<>();
    private final Map<MemberIdentifier, Boolean> mVoting =
            new HashMap<>(Map.of(LEADER, true, FOLLOWER, true, GONE, true, SUCCESSOR, false));
    private Optional<IbisstandException> mRefusal = Optional.empty();
    private final VoterChanges mVoterChanges =
            new VoterChanges(
                    new VoterPolicy(Duration.ofMillis(800), Optional.of(Duration.ofSeconds(2))),
                    this::change,
                    this::status,
                    Clock.fixed(Instant.EPOCH, ZoneOffset.UTC));

    @Test
    void theSilentVoterGoesAtOnceAfterItsSuccessorGotTheVote() {
        mVoterChanges.tick();

        assertThat(mChanges)
                .containsExactly(
                        new MembershipChange.Promote(SUCCESSOR), new MembershipChange.Remove(GONE))
                .inOrder();
    }

    @Test
    void aRefusedChangeIsAskedForWithTheNextTick() {
        mRefusal = Optional.of(new IbisstandException(ErrorCode.MEMBERSHIP_CONFLICT, "refused"));
        mVoterChanges.tick();
        assertThat(mChanges).containsExactly(new MembershipChange.Promote(SUCCESSOR));

        mRefusal = Optional.empty();
        mVoterChanges.tick();

        assertThat(mChanges).hasSize(3);
        assertThat(mVoterChanges.isPending()).isFalse();
    }

    private CompletableFuture<byte[]> change(MembershipChange change) {
        mChanges.add(change);
        if (mRefusal.isPresent()) {
            return CompletableFuture.failedFuture(mRefusal.get());
        }
        switch (change) {
            case MembershipChange.Promote promote -> mVoting.put(promote.member(), true);
            case MembershipChange.Remove remove -> mVoting.remove(remove.member());
            default -> throw new AssertionError("not a change of the policy: " + change);
        }
        return CompletableFuture.completedFuture(new byte[0]);
    }

    private MemberStatus status() {
        List<Member> members =
                mVoting.entrySet().stream()
                        .map(entry -> new Member(entry.getKey(), "address", entry.getValue()))
                        .toList();
        return new MemberStatus(
                LEADER,
                true,
                1,
                Optional.of(LEADER),
                Membership.of(members, "group", Set.of("leader", "follower", "gone")),
                1,
                1,
                1,
                0,
                Set.of(SUCCESSOR),
                Map.of(GONE, Duration.ofSeconds(2)));
    }
}
