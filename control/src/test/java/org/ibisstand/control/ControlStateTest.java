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
    void aCommandOfALaterReleaseIsRefused() {
        CommandResult result = mState.apply(Command.getDefaultInstance());
        assertThat(result.getRefusal().getCode()).isEqualTo(ErrorCode.FRAME_INVALID.name());
    }

    @Test
    void aDamagedSnapshotIsReported() {
        IbisstandException failure =
                assertThrows(IbisstandException.class, () -> mState.restore(DAMAGED));
        assertThat(failure.code()).isEqualTo(ErrorCode.STORAGE_DAMAGED);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLeaderWhoseClockIsBehindBringsNoKeyBack(boolean timed) {
        String key = timed ? Commands.timedKey(100_000, 1) : "key";
        Claim claim = Commands.claim(key, "body", "agent-1", 1);
        mState.apply(Commands.command(100_000, claim));
        Claim later = Commands.claim("other", "body", "agent-1", 1);
        mState.apply(Commands.command(200_000, later));
        ClaimReply reply = mState.apply(Commands.command(100_001, claim)).getClaim();
        assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.EXPIRED);
    }

    @Test
    void aClaimUnderAClockThatIsBehindIsKeptForItsWholeRetention() {
        mState.apply(Commands.beginLoad(200_000, "agent-1", 1));
        Claim claim = Commands.claim("key", "body", "agent-1", 1);
        mState.apply(Commands.command(100_000, claim));
        ClaimReply reply = mState.apply(Commands.command(205_000, claim)).getClaim();
        assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.BOUND);
    }

    @Test
    void keysWithoutATimeAreBoundedOverAllTeams() {
        long granted = 0;
        for (int team = 0; team < 2 * Commands.LIMITS.getMaximumOpaqueKeysInAll(); team++) {
            long now = 100_000L + team * 60_000L;
            Claim claim =
                    Commands.claim("key", "body", "agent-1", 1).toBuilder()
                            .setTeam("team-" + team)
                            .build();
            granted += mState.apply(Commands.command(now, claim)).hasClaim() ? 1 : 0;
            mState.restore(mState.snapshot());
        }
        assertThat(granted).isEqualTo(Commands.LIMITS.getMaximumOpaqueKeysInAll());
    }

    @Test
    void yearsOfTimedKeysLeaveNothingBehind() {
        int size = 0;
        for (int round = 0; round < 1_000; round++) {
            long now = 100_000L + round * 60_000L;
            Claim claim = Commands.claim(Commands.timedKey(now, round), "body", "agent-1", 1);
            ClaimReply reply = mState.apply(Commands.command(now, claim)).getClaim();
            assertThat(reply.getResult()).isEqualTo(ClaimReply.Result.GRANTED);
            size = Math.max(size, mState.snapshot().length);
        }
        assertThat(mState.claims().size()).isEqualTo(1);
        assertThat(size).isLessThan(500);
    }
}
