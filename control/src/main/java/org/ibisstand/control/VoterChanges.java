package org.ibisstand.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.ibisstand.base.LogLine;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.consensus.VoterPolicy;

/**
 * Starts the changes that a {@link VoterPolicy} asks for, one at a time; used on the control
 * thread.
 */
final class VoterChanges {
    /** A member that stops repeats its notice with each tick of its log. */
    private static final Duration DEPARTURE_VALIDITY = Duration.ofSeconds(1);

    private final VoterPolicy mPolicy;
    private final Function<MembershipChange, CompletableFuture<byte[]>> mChangeMembership;
    private final Supplier<MemberStatus> mStatus;
    private final Clock mClock;
    private final Map<MemberIdentifier, Instant> mDepartures = new HashMap<>();
    private Optional<MembershipChange> mPending = Optional.empty();
    private Optional<MembershipChange> mRefused = Optional.empty();

    /**
     * Creates the changes of one member.
     *
     * @param policy decides about them
     * @param changeMembership starts a change of the members
     * @param status returns the present status of this member
     * @param clock the time source, which must not jump
     */
    VoterChanges(
            VoterPolicy policy,
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership,
            Supplier<MemberStatus> status,
            Clock clock) {
        mPolicy = policy;
        mChangeMembership = changeMembership;
        mStatus = status;
        mClock = clock;
    }

    /** Notes that a member is about to stop. */
    void departs(MemberIdentifier member) {
        mDepartures.put(member, mClock.instant());
    }

    /** Returns whether a change was started that is not committed yet. */
    boolean isPending() {
        return mPending.isPresent();
    }

    /** Starts the next change if this member leads and one is due. */
    void tick() {
        MemberStatus status = mStatus.get();
        if (!status.leading() || mPending.isPresent()) {
            return;
        }
        Instant now = mClock.instant();
        mDepartures.values().removeIf(heard -> heard.plus(DEPARTURE_VALIDITY).isBefore(now));
        mPending = mPolicy.nextChange(status, Set.copyOf(mDepartures.keySet()));
        mPending.ifPresent(
                change ->
                        mChangeMembership
                                .apply(change)
                                .whenComplete((result, failure) -> finish(change, failure)));
    }

    /**
     * Forgets the change; the policy asks again for one that failed if it is still due. Logs a
     * change that fails again and again once. Between the two steps of an exchange the group bears
     * fewer losses, so the next step follows at once.
     */
    private void finish(MembershipChange change, Throwable failure) {
        mPending = Optional.empty();
        if (failure == null || !mRefused.equals(Optional.of(change))) {
            logChange(change, failure);
        }
        mRefused = failure == null ? Optional.empty() : Optional.of(change);
        if (failure == null) {
            tick();
        }
    }

    private void logChange(MembershipChange change, Throwable failure) {
        LogLine line =
                failure == null
                        ? LogLine.info("voters_changed")
                        : LogLine.warning("voters_not_changed")
                                .with("reason", failure.getMessage());
        MemberStatus status = mStatus.get();
        line.with("member", status.self())
                .with("change", change)
                .with("voters", status.membership().voters())
                .write();
    }
}
