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
 * Brings one member into the group in steps that each wait for the one before: learn its identity,
 * add it as a learner, let it catch up, remove the lost member whose name it carries, and give it
 * the vote. A repeated request goes on where an interrupted one ended.
 */
final class MemberAddition {
    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private final LogMember mMember;
    private final Instant mDeadline;
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();
    private Optional<MemberIdentifier> mIdentifier = Optional.empty();
    private boolean mChanging;

    MemberAddition(LogMember member, Instant now) {
        mMember = member;
        mDeadline = now.plus(PATIENCE);
    }

    CompletableFuture<Void> done() {
        return mDone;
    }

    String address() {
        return mMember.address();
    }

    /** Takes what the process at the address said about itself. */
    void introduced(MemberIdentifier member, Introduction introduction, MemberStatus status) {
        boolean isAsked = introduction.getName().equals(mMember.name());
        if (!isAsked || mIdentifier.isPresent()) {
            return;
        }
        if (introduction.getFormed() && status.membership().member(member).isEmpty()) {
            fail(
                    ErrorCode.MEMBERSHIP_CONFLICT,
                    member + " has a log of its own; start it with an empty data folder");
            return;
        }
        mIdentifier = Optional.of(member);
    }

    /**
     * Does the next step if it is due.
     *
     * @param status of this member, which must lead
     * @param now the present time
     * @param ask asks the process at the new member's address who it is
     * @param change starts a change of the members
     */
    void tick(
            MemberStatus status,
            Instant now,
            Consumer<String> ask,
            Function<MembershipChange, CompletableFuture<byte[]>> change) {
        if (!status.leading()) {
            fail(ErrorCode.NOT_LEADER, "the leader changed; repeat the request at the new one");
        } else if (now.isAfter(mDeadline)) {
            fail(
                    ErrorCode.DEADLINE_EXCEEDED,
                    mMember.name() + " did not answer or catch up in time; repeat the request");
        } else if (mIdentifier.isEmpty()) {
            ask.accept(mMember.address());
        } else if (!mChanging) {
            step(mIdentifier.get(), status, change);
        }
    }

    private void step(
            MemberIdentifier member,
            MemberStatus status,
            Function<MembershipChange, CompletableFuture<byte[]>> change) {
        if (status.membership().isVoter(member)) {
            mDone.complete(null);
        } else if (status.membership().member(member).isEmpty()) {
            start(change, new MembershipChange.AddLearner(member, mMember.address()));
        } else if (status.matchIndexes().getOrDefault(member, 0L) >= status.commitIndex()) {
            start(change, nextVote(member, status));
        }
    }

    /** The lost member goes first, so that no vote of a dead member is added to by a new one. */
    private MembershipChange nextVote(MemberIdentifier member, MemberStatus status) {
        return status.membership().members().values().stream()
                .map(Member::identifier)
                .filter(other -> other.name().equals(mMember.name()) && !other.equals(member))
                .findFirst()
                .<MembershipChange>map(MembershipChange.Remove::new)
                .orElse(new MembershipChange.Promote(member));
    }

    private void start(
            Function<MembershipChange, CompletableFuture<byte[]>> change, MembershipChange next) {
        mChanging = true;
        change.apply(next)
                .whenComplete(
                        (result, failure) -> {
                            mChanging = false;
                            if (failure != null && !isWorthWaiting(failure)) {
                                mDone.completeExceptionally(failure);
                            }
                        });
    }

    private static boolean isWorthWaiting(Throwable failure) {
        return failure instanceof IbisstandException known
                && known.code() == ErrorCode.MEMBERSHIP_CONFLICT;
    }

    private void fail(ErrorCode code, String message) {
        mDone.completeExceptionally(new IbisstandException(code, message));
    }
}
