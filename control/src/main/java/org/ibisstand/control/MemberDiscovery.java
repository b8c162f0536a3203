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

/** Learns the identities of other members to found the group or to extend it. */
final class Introductions {
    private final GroupFormation mFormation;
    private final MemberConnections mConnections;
    private final List<MemberAddition> mAdditions = new ArrayList<>();

    Introductions(GroupFormation formation, MemberConnections connections) {
        mFormation = formation;
        mConnections = connections;
    }

    /** Answers who this member is. */
    void introduce(WireConnection connection, MemberStatus status) {
        Introduction introduction = mFormation.introduction(!isBlank(status));
        mConnections.send(
                connection, MemberPayload.newBuilder().setIntroduction(introduction).build());
    }

    void introduced(
            MemberIdentifier from, Introduction introduction, MemberStatus status, Instant now) {
        mFormation.introduced(from, introduction, now);
        mAdditions.forEach(addition -> addition.introduced(from, introduction, status));
    }

    /** Asks the other first members who they are, and returns the group to found, if any. */
    Optional<Membership> form(MemberStatus status, Instant now) {
        if (!isBlank(status)) {
            return Optional.empty();
        }
        mFormation.addresses().forEach(this::ask);
        return mFormation.membership(now);
    }

    CompletableFuture<Void> add(LogMember member, Instant now) {
        MemberAddition addition = new MemberAddition(member, now);
        mAdditions.add(addition);
        return addition.done();
    }

    void tickAdditions(
            MemberStatus status,
            Instant now,
            Function<MembershipChange, CompletableFuture<byte[]>> change) {
        for (MemberAddition addition : List.copyOf(mAdditions)) {
            addition.tick(status, now, this::ask, change);
        }
        mAdditions.removeIf(addition -> addition.done().isDone());
    }

    void failAdditions(IbisstandException failure) {
        mAdditions.forEach(addition -> addition.done().completeExceptionally(failure));
        mAdditions.clear();
    }

    /** Returns the addresses that connections are needed to. */
    Set<String> addresses(MemberStatus status) {
        Set<String> addresses = new HashSet<>();
        if (isBlank(status)) {
            addresses.addAll(mFormation.addresses());
        }
        status.membership().members().values().forEach(member -> addresses.add(member.address()));
        mAdditions.forEach(addition -> addresses.add(addition.address()));
        return addresses;
    }

    private void ask(String address) {
        IntroductionRequest request = IntroductionRequest.getDefaultInstance();
        mConnections.send(
                address, MemberPayload.newBuilder().setIntroductionRequest(request).build());
    }

    private static boolean isBlank(MemberStatus status) {
        return status.lastIndex() == 0;
    }
}
