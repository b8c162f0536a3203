package org.ibisstand.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.consensus.MemberIdentifier;
import org.ibisstand.consensus.MemberStatus;
import org.ibisstand.consensus.Membership;
import org.ibisstand.consensus.MembershipChange;
import org.ibisstand.control.message.Introduction;
import org.ibisstand.control.message.IntroductionRequest;
import org.ibisstand.control.message.MemberPayload;
import org.ibisstand.wire.WireConnection;

/** Finds out the identities of other members in order to form a group or to add members to it. */
final class MemberDiscovery {
    private final GroupFormation mFormation;
    private final MemberConnections mConnections;
    private final List<MemberAddition> mAdditions = new ArrayList<>();

    MemberDiscovery(GroupFormation formation, MemberConnections connections) {
        mFormation = formation;
        mConnections = connections;
    }

    /** Answers an introduction request with the introduction of this member. */
    void sendIntroduction(WireConnection connection, MemberStatus status) {
        Introduction introduction =
                mFormation.introduction(!hasEmptyLog(status), status.membership().group());
        mConnections.send(
                connection, MemberPayload.newBuilder().setIntroduction(introduction).build());
    }

    void receiveIntroduction(
            MemberIdentifier from, Introduction introduction, MemberStatus status, Instant now) {
        mFormation.receiveIntroduction(from, introduction, now);
        mAdditions.forEach(addition -> addition.receiveIntroduction(from, introduction, status));
    }

    /**
     * Asks the other first members for their introductions; returns the group to form once this
     * member may do so.
     */
    Optional<Membership> findGroupToForm(MemberStatus status, Instant now) {
        if (!hasEmptyLog(status)) {
            return Optional.empty();
        }
        mFormation.otherAddresses().forEach(this::requestIntroduction);
        return mFormation.membershipToForm(now);
    }

    CompletableFuture<Void> addMember(LogMember member, boolean established, Instant now) {
        MemberAddition addition = new MemberAddition(member, established, now);
        mAdditions.add(addition);
        return addition.done();
    }

    void tickAdditions(
            MemberStatus status,
            Instant now,
            Function<MembershipChange, CompletableFuture<byte[]>> changeMembership) {
        for (MemberAddition addition : List.copyOf(mAdditions)) {
            addition.tick(status, now, this::requestIntroduction, changeMembership);
        }
        mAdditions.removeIf(addition -> addition.done().isDone());
    }

    void failAdditions(IbisstandException failure) {
        mAdditions.forEach(addition -> addition.done().completeExceptionally(failure));
        mAdditions.clear();
    }

    /** Returns the addresses to keep connections to. */
    Set<String> neededAddresses(MemberStatus status) {
        Set<String> addresses = new HashSet<>();
        if (hasEmptyLog(status)) {
            addresses.addAll(mFormation.otherAddresses());
        }
        status.membership().members().values().forEach(member -> addresses.add(member.address()));
        mAdditions.forEach(addition -> addresses.add(addition.address()));
        return addresses;
    }

    private void requestIntroduction(String address) {
        IntroductionRequest request = IntroductionRequest.getDefaultInstance();
        mConnections.send(
                address, MemberPayload.newBuilder().setIntroductionRequest(request).build());
    }

    private static boolean hasEmptyLog(MemberStatus status) {
        return status.lastIndex() == 0;
    }
}
