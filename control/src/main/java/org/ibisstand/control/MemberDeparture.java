package org.ibisstand.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.ibisstand.base.LogLine;
import org.ibisstand.consensus.Member;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.VoterPolicy;
import org.ibisstand.control.message.Departure;
import org.ibisstand.control.message.MemberPayload;

/**
 * Gives back the vote of this member before its process stops, so that the group does not count a
 * member that may never return; used on the control thread.
 */
final class MemberDeparture {
    /** Outlasts elections after a loss of the leader; supervisors allow several seconds to stop. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final VoterPolicy mPolicy;
    private final VoterChanges mVoterChanges;
    private final Consumer<Outgoing> mSender;
    private Optional<Instant> mDeadline = Optional.empty();
    private final CompletableFuture<Void> mDone = new CompletableFuture<>();

    /**
     * A notice to another member.
     *
     * @param address the address of the member
     * @param payload the notice
     */
    record Outgoing(String address, MemberPayload payload) {}

    /**
     * Creates a departure that has not begun.
     *
     * @param policy decides who may depart
     * @param voterChanges changes the voters while this member leads
     * @param sender sends notices
     */
    MemberDeparture(VoterPolicy policy, VoterChanges voterChanges, Consumer<Outgoing> sender) {
        mPolicy = policy;
        mVoterChanges = voterChanges;
        mSender = sender;
    }

    /** Begins; completes once the vote is given back, or cannot be given back in time. */
    CompletableFuture<Void> begin(MemberStatus status, Instant now) {
        if (mDeadline.isEmpty()) {
            mDeadline = Optional.of(now.plus(TIMEOUT));
            tick(status, now);
        }
        return mDone;
    }

    /** Tells the other members again. */
    void tick(MemberStatus status, Instant now) {
        if (mDeadline.isEmpty() || mDone.isDone()) {
            return;
        }
        MemberIdentifier self = status.self();
        boolean mayDepart = mPolicy.mayDepart(status.membership(), self);
        if (!mVoterChanges.isPending() && !mayDepart) {
            finish(self, status.membership().isVoter(self) ? "no_voter_to_spare" : "no_vote");
        } else if (now.isAfter(mDeadline.get())) {
            finish(self, "timed_out");
        } else if (status.leading()) {
            mVoterChanges.departs(self);
        } else {
            MemberPayload notice =
                    MemberPayload.newBuilder().setDeparture(Departure.getDefaultInstance()).build();
            status.membership().members().values().stream()
                    .filter(member -> !member.identifier().equals(self))
                    .map(Member::address)
                    .forEach(address -> mSender.accept(new Outgoing(address, notice)));
        }
    }

    /** Handles the reply of a leader that counts this member no longer. */
    void receiveReply(MemberStatus status) {
        if (mDeadline.isPresent()) {
            finish(status.self(), "vote_given_back");
        }
    }

    /** Ends at once, as the log takes part in its group no longer. */
    void stop() {
        mDone.complete(null);
    }

    private void finish(MemberIdentifier self, String result) {
        if (mDone.complete(null)) {
            LogLine.info("member_departs").with("member", self).with("result", result).write();
        }
    }
}
