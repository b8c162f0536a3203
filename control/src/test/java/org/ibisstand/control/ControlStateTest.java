package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.control.message.Command;
import org.ibisstand.control.message.CommandResult;
import org.ibisstand.wire.message.Claim;
import org.ibisstand.wire.message.ClaimReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlStateTest {
    private static final byte[] DAMAGED = {(byte) 0xff, 1, 2};

    private final ControlState mState = ControlState.empty();

    @Test
    void aDamagedCommandIsRefusedAndChangesNothing() throws InvalidProtocolBufferException {
        byte[] before = mState.snapshot();
        CommandResult result = CommandResult.parseFrom(mState.apply(DAMAGED));
        assertThat(result.getRefusal().getCode()).isEqualTo(ErrorCode.FRAME_INVALID.name());
        assertThat(mState.snapshot()).isEqualTo(before);
    }

    @Test
    void aCommandOfAnUnknownTypeIsRefused() {
        CommandResult result = mState.apply(Command.getDefaultInstance());
        assertThat(result.getRefusal().getCode()).isEqualTo(ErrorCode.FRAME_INVALID.name());
    }

    @Test
    void aDamagedSnapshotFailsToRestore() {
        IbisstandException failure =
                assertThrows(IbisstandException.class, () -> mState.restore(DAMAGED));
        assertThat(failure.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
    }

    // A new leader's clock may be behind the clock of the leader under which the claim expired.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anExpiredKeyStaysExpiredUnderALeaderWhoseClockIsBehind(boolean hasTimestamp) {
        String key = hasTimestamp ? TestCommands.keyWithTimestamp(100_000, 1) : "key";
        Claim claim = TestCommands.claim(key, "body", "agent-1", 1);
        mState.apply(TestCommands.makeClaim(100_000, claim));
        Claim later = TestCommands.claim("other", "body", "agent-1", 1);
        mState.apply(TestCommands.makeClaim(200_000, later));
        ClaimReply reply = mState.apply(TestCommands.makeClaim(100_001, claim)).getClaim();
        assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.EXPIRED);
    }

    // A claim dated by a clock that is behind would expire too early once the clock is right again.
    @Test
    void aClaimMadeWhileTheClockIsBehindIsKeptForItsFullRetention() {
        mState.apply(TestCommands.beginLoad(200_000, "agent-1", 1));
        Claim claim = TestCommands.claim("key", "body", "agent-1", 1);
        mState.apply(TestCommands.makeClaim(100_000, claim));
        ClaimReply reply = mState.apply(TestCommands.makeClaim(205_000, claim)).getClaim();
        assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.BOUND);
    }

    @Test
    void keysWithoutATimestampAreLimitedOverAllTeams() {
        long granted = 0;
        for (int team = 0; team < 2 * TestCommands.LIMITS.getMaximumOpaqueKeysInAll(); team++) {
            long nowMilliseconds = 100_000L + team * 60_000L;
            Claim claim =
                    TestCommands.claim("key", "body", "agent-1", 1).toBuilder()
                            .setTeam("team-" + team)
                            .build();
            granted +=
                    mState.apply(TestCommands.makeClaim(nowMilliseconds, claim)).hasClaim() ? 1 : 0;
            mState.restore(mState.snapshot());
        }
        assertThat(granted).isEqualTo(TestCommands.LIMITS.getMaximumOpaqueKeysInAll());
    }

    @Test
    void expiredKeysWithATimestampTakeNoSpaceInTheSnapshot() {
        int largestSnapshotBytes = 0;
        for (int round = 0; round < 1_000; round++) {
            long nowMilliseconds = 100_000L + round * 60_000L;
            Claim claim =
                    TestCommands.claim(
                            TestCommands.keyWithTimestamp(nowMilliseconds, round),
                            "body",
                            "agent-1",
                            1);
            ClaimReply reply =
                    mState.apply(TestCommands.makeClaim(nowMilliseconds, claim)).getClaim();
            assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.GRANTED);
            largestSnapshotBytes = Math.max(largestSnapshotBytes, mState.snapshot().length);
        }
        assertThat(mState.claims().size()).isEqualTo(1);
        assertThat(largestSnapshotBytes).isLessThan(500);
    }
}
