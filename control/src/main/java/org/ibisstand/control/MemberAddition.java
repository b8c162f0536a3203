package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.consensus.VoterPolicy;
import org.ibisstand.control.message.Introduction;

/**
 * Adds one member to the group as a learner and waits until {@link VoterPolicy} has given it a
 * vote. A repeated request continues where an interrupted one stopped.
 */
final class MemberAddition {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final LogMember mMember;
    private final boolean mEstablished;
    private final Instant mDeadline;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private Optional<MemberIdentifier> mIdentifier = Optional.empty();
    private boolean mChangePending;

    /**
     * Starts an addition.
     *
     * @param member the member to add
     * @param established whether the group is meant to be larger by this member
     * @param now the current time
     */
    MemberAddition(LogMember member, boolean established, Instant now) {
        mMember = member;
        mEstablished = established;
        mDeadline = now.plus(TIMEOUT);
    }

    CompletableFuture<Void> done() {
        return mDone;
    }

    String address() {
        return mMember.address();
    }

    /**
     * Handles an introduction that a process sent. The last one counts, since the member may lose
     * its disk again while it is being added.
     */
    void receiveIntroduction(
            MemberIdentifier member, Introduction introduction, MemberStatus status) {
        if (!introduction.getName().equals(mMember.name())) {
            return;
        }
        boolean isMember = status.membership().member(member).isPresent();
        if (introduction.getFormed() && !isMember && !isFormerMember(introduction, status)) {
            fail(
                    ErrorCode.MEMBERSHIP_CONFLICT,
                    member + " belongs to another group; start it with an empty data folder");
            return;
        }
        mIdentifier = Optional.of(member);
    }

    /**
     * A member that was removed with its disk intact may return: its log is part of the group's.
     */
    private static boolean isFormerMember(Introduction introduction, MemberStatus status) {
        String group = status.membership().group();
        return !group.isEmpty() && group.equals(introduction.getGroup());
    }

    /**
     * Starts the next step if it is due.
     *
     * @param status the status of this member; the addition fails unless it leads
     * @param now the current time
     * @param requestIntroduction sends an introduction request to the given address
     * @param changeMembership starts a membership change
     */
    void tick(
            MemberStatus status,
            Instant now,
            Consumer<String> requestIntroduction,
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership) {
        if (!status.leading()) {
            fail(ErrorCode.NOT_LEADER, "this member does not lead; send the request to the leader");
        } else if (now.isAfter(mDeadline)) {
            fail(
                    ErrorCode.DEADLINE_EXCEEDED,
                    mMember.name() + " did not answer or catch up in time; repeat the request");
        } else {
            requestIntroduction.accept(mMember.address());
            mIdentifier.ifPresent(member -> step(member, status, changeMembership));
        }
    }

    private void step(
            MemberIdentifier member,
            MemberStatus status,
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership) {
        if (status.membership().isVoter(member)) {
            mDone.complete(null);
        } else if (status.membership().member(member).isEmpty() && !mChangePending) {
            mChangePending = true;
            changeMembership
                    .apply(new MembershipChange.AddLearner(member, mMember.address(), mEstablished))
                    .whenComplete((result, failure) -> changed(failure));
        }
    }

    private void changed(Throwable failure) {
        mChangePending = false;
        if (failure != null && !isRetryable(failure)) {
            mDone.completeExceptionally(failure);
        }
    }

    private static boolean isRetryable(Throwable failure) {
        return failure instanceof IbisstandException exception
                && exception.code() == ErrorCode.MEMBERSHIP_CONFLICT;
    }

    private void fail(ErrorCode code, String message) {
        mDone.completeExceptionally(new IbisstandException(code, message));
    }
}
