package org.ibisstand.control;

import com.google.protobuf.ByteString;
import java.util.UUID;
import org.ibisstand.base.Digests;
import org.ibisstand.control.message.BeginLoad;
import org.ibisstand.control.message.ChangeConfiguration;
import org.ibisstand.control.message.ClaimLimits;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.EndLoad;
import org.ibisstand.control.message.FinishClaim;
import org.ibisstand.control.message.MakeClaim;
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.Outcome;
import org.ibisstand.wire.message.RecordOutcome;

/** Builds commands with small limits. */
final class Commands {
    static final long RETENTION_MILLISECONDS = 10_000;
    static final long TOLERANCE_MILLISECONDS = 1_000;
    static final ClaimLimits LIMITS =
            ClaimLimits.newBuilder()
                    .setRetentionMilliseconds(RETENTION_MILLISECONDS)
                    .setClockToleranceMilliseconds(TOLERANCE_MILLISECONDS)
                    .setMaximumClaims(6)
                    .setMaximumOpaqueKeys(5)
                    .setMaximumOpaqueKeysInAll(7)
                    .build();
    static final long KEPT_BYTES = 100;

    private static final int VERSION_7 = 0x7000;
    private static final int TIME_SHIFT = 16;

    private Commands() {}

    static String timedKey(long milliseconds, int number) {
        long high = milliseconds << TIME_SHIFT | VERSION_7;
        return new UUID(high, Long.MIN_VALUE | number).toString();
    }

    static Claim claim(String key, String body, String agent, long boot) {
        return Claim.newBuilder()
                .setTeam("desk")
                .setService("orders")
                .setKey(key)
                .setBodyDigest(ByteString.copyFrom(Digests.sha256(body.getBytes())))
                .setAgent(agent)
                .setBoot(boot)
                .build();
    }

    static Command command(long now, Claim claim, ClaimLimits limits) {
        MakeClaim make = MakeClaim.newBuilder().setClaim(claim).setLimits(limits).build();
        return Command.newBuilder().setNowMilliseconds(now).setMakeClaim(make).build();
    }

    static Command command(long now, Claim claim) {
        return command(now, claim, LIMITS);
    }

    static Claim takeOver(Claim claim, AttemptIdentifier tombstoned) {
        return claim.toBuilder().setTombstoned(tombstoned).build();
    }

    static Command finish(long now, AttemptIdentifier attempt, Claim bound, Outcome outcome) {
        RecordOutcome record =
                RecordOutcome.newBuilder()
                        .setAttempt(attempt)
                        .setAgent(bound.getAgent())
                        .setBoot(bound.getBoot())
                        .setOutcome(outcome)
                        .build();
        return Command.newBuilder()
                .setNowMilliseconds(now)
                .setFinishClaim(
                        FinishClaim.newBuilder().setOutcome(record).setMaximumKeptBytes(KEPT_BYTES))
                .build();
    }

    static Outcome answer(int status, int bytes) {
        return Outcome.newBuilder()
                .setStatus(status)
                .setBody(ByteString.copyFrom(new byte[bytes]))
                .build();
    }

    static Command change(long expectedRevision, String change, String json) {
        return Command.newBuilder()
                .setChangeConfiguration(
                        ChangeConfiguration.newBuilder()
                                .setExpectedRevision(expectedRevision)
                                .setChange(change)
                                .setJson(ByteString.copyFromUtf8(json)))
                .build();
    }

    static Command beginLoad(long now, String agent, int maximumLoads) {
        return Command.newBuilder()
                .setNowMilliseconds(now)
                .setBeginLoad(
                        BeginLoad.newBuilder()
                                .setAgent(agent)
                                .setBoot(1)
                                .setModel("contracts")
                                .setWeightsVersion("2")
                                .setMaximumLoads(maximumLoads)
                                .setTimeoutMilliseconds(5_000))
                .build();
    }

    static Command endLoad(long fencingNumber) {
        return Command.newBuilder()
                .setEndLoad(EndLoad.newBuilder().setFencingNumber(fencingNumber))
                .build();
    }

    static ControlState restarted(ControlState state) {
        ControlState copy = ControlState.empty();
        copy.restore(state.snapshot());
        return copy;
    }
}
