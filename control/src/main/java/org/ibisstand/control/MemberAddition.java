package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.control.message.Introduction;

/**
 * Adds one member to the group, step by step: requests its identity, adds it as a learner, waits
 * until it has caught up, removes the lost member of the same name, and promotes the new one to a
 * voter. A repeated request continues where an interrupted one stopped.
 */
final class MemberAddition {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final LogMember mMember;
    private final Instant mDeadline;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private Optional<MemberIdentifier> mIdentifier = Optional.empty();
    private boolean mChangePending;

    MemberAddition(LogMember member, Instant now) {
        mMember = member;
        mDeadline = now.plus(TIMEOUT);
    }

    CompletableFuture<Void> done() {
        return mDone;
    }

    String address() {
        return mMember.address();
    }

    /** Handles the introduction that the process at the address sent. */
    void receiveIntroduction(
            MemberIdentifier member, Introduction introduction, MemberStatus status) {
        boolean isExpectedName = introduction.getName().equals(mMember.name());
        if (!isExpectedName || mIdentifier.isPresent()) {
            return;
        }
        if (introduction.getFormed() && status.membership().member(member).isEmpty()) {
            fail(
                    ErrorCode.MEMBERSHIP_CONFLICT,
                    member + " belongs to another group; start it with an empty data folder");
            return;
        }
        mIdentifier = Optional.of(member);
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
        } else if (mIdentifier.isEmpty()) {
            requestIntroduction.accept(mMember.address());
        } else if (!mChangePending) {
            step(mIdentifier.get(), status, changeMembership);
        }
    }

    private void step(
            MemberIdentifier member,
            MemberStatus status,
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership) {
        if (status.membership().isVoter(member)) {
            mDone.complete(null);
        } else if (status.membership().member(member).isEmpty()) {
            start(changeMembership, new MembershipChange.AddLearner(member, mMember.address()));
        } else if (status.matchIndexes().getOrDefault(member, 0L) >= status.commitIndex()) {
            start(changeMembership, nextVotingChange(member, status));
        }
    }

    /**
     * Removes the lost member before it promotes the new one, so that the group never counts a
     * voter that cannot answer in addition to the new voter.
     */
    private MembershipChange nextVotingChange(MemberIdentifier member, MemberStatus status) {
        return status.membership().members().values().stream()
                .map(Member::identifier)
                .filter(other -> other.name().equals(mMember.name()) && !other.equals(member))
                .findFirst()
                .<MembershipChange>map(MembershipChange.Remove::new)
                .orElse(new MembershipChange.Promote(member));
    }

    private void start(
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership,
            MembershipChange change) {
        mChangePending = true;
        changeMembership
                .apply(change)
                .whenComplete(
                        (result, failure) -> {
                            mChangePending = false;
                            if (failure != null && !isRetryable(failure)) {
                                mDone.completeExceptionally(failure);
                            }
                        });
    }

    private static boolean isRetryable(Throwable failure) {
        return failure instanceof IbisstandException exception
                && exception.code() == ErrorCode.MEMBERSHIP_CONFLICT;
    }

    private void fail(ErrorCode code, String message) {
        mDone.completeExceptionally(new IbisstandException(code, message));
    }
}
