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

/** Creates commands with limits small enough for tests to reach. */
final class TestCommands {
    static final long RETENTION_MILLISECONDS = 10_000;
    static final long CLOCK_TOLERANCE_MILLISECONDS = 1_000;
    static final ClaimLimits LIMITS =
            ClaimLimits.newBuilder()
                    .setRetentionMilliseconds(RETENTION_MILLISECONDS)
                    .setClockToleranceMilliseconds(CLOCK_TOLERANCE_MILLISECONDS)
                    .setMaximumClaims(6)
                    .setMaximumOpaqueKeys(5)
                    .setMaximumOpaqueKeysInAll(7)
                    .build();
    static final long MAXIMUM_KEPT_ANSWER_BYTES = 100;

    private static final int UUID_VERSION_7_BITS = 0x7000;
    private static final int UUID_TIMESTAMP_SHIFT = 16;

    private TestCommands() {}

    static String keyWithTimestamp(long milliseconds, int suffix) {
        long highBits = milliseconds << UUID_TIMESTAMP_SHIFT | UUID_VERSION_7_BITS;
        return new UUID(highBits, Long.MIN_VALUE | suffix).toString();
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

    static Command makeClaim(long nowMilliseconds, Claim claim, ClaimLimits limits) {
        MakeClaim makeClaim = MakeClaim.newBuilder().setClaim(claim).setLimits(limits).build();
        return Command.newBuilder()
                .setNowMilliseconds(nowMilliseconds)
                .setMakeClaim(makeClaim)
                .build();
    }

    static Command makeClaim(long nowMilliseconds, Claim claim) {
        return makeClaim(nowMilliseconds, claim, LIMITS);
    }

    static Claim takeOverClaim(Claim claim, AttemptIdentifier tombstonedAttempt) {
        return claim.toBuilder().setTombstoned(tombstonedAttempt).build();
    }

    static Command finishClaim(
            long nowMilliseconds, AttemptIdentifier attempt, Claim bound, Outcome outcome) {
        RecordOutcome record =
                RecordOutcome.newBuilder()
                        .setAttempt(attempt)
                        .setAgent(bound.getAgent())
                        .setBoot(bound.getBoot())
                        .setOutcome(outcome)
                        .build();
        return Command.newBuilder()
                .setNowMilliseconds(nowMilliseconds)
                .setFinishClaim(
                        FinishClaim.newBuilder()
                                .setOutcome(record)
                                .setMaximumKeptBytes(MAXIMUM_KEPT_ANSWER_BYTES))
                .build();
    }

    static Outcome outcome(int status, int bodyBytes) {
        return Outcome.newBuilder()
                .setStatus(status)
                .setBody(ByteString.copyFrom(new byte[bodyBytes]))
                .build();
    }

    static Command changeConfiguration(long expectedRevision, String change, String json) {
        return Command.newBuilder()
                .setChangeConfiguration(
                        ChangeConfiguration.newBuilder()
                                .setExpectedRevision(expectedRevision)
                                .setChange(change)
                                .setJson(ByteString.copyFromUtf8(json)))
                .build();
    }

    static Command beginLoad(long nowMilliseconds, String agent, int maximumLoads) {
        return Command.newBuilder()
                .setNowMilliseconds(nowMilliseconds)
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

    static ControlState restoreFromSnapshot(ControlState state) {
        ControlState restored = ControlState.empty();
        restored.restore(state.snapshot());
        return restored;
    }
}
