package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WeightLoadsTest {
    private static final int MAXIMUM_LOADS = 2;

    private ControlState mState = ControlState.empty();

    private long beginLoad(long nowMilliseconds, String agent) {
        return mState.apply(TestCommands.beginLoad(nowMilliseconds, agent, MAXIMUM_LOADS))
                .getLoad()
                .getFencingNumber();
    }

    private void restartIf(boolean isRestarted) {
        if (isRestarted) {
            mState = TestCommands.restoreFromSnapshot(mState);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aLoadBeyondTheLimitIsRefusedUntilAnotherEnds(boolean isRestarted) {
        long first = beginLoad(0, "agent-1");
        long second = beginLoad(0, "agent-2");
        restartIf(isRestarted);
        assertThat(beginLoad(1, "agent-3")).isEqualTo(0);
        mState.apply(TestCommands.endLoad(first));
        restartIf(isRestarted);
        assertThat(beginLoad(1, "agent-3")).isGreaterThan(second);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRenewedLoadGetsAHigherFencingNumberThanTheOneWhoseReplyWasLost(boolean isRestarted) {
        long lost = beginLoad(0, "agent-1");
        restartIf(isRestarted);
        long renewed = beginLoad(1, "agent-1");
        assertThat(renewed).isGreaterThan(lost);
        assertThat(mState.loads()).hasSize(1);
    }

    @Test
    void theEndOfASupersededLoadFreesNoSlot() {
        long superseded = beginLoad(0, "agent-1");
        beginLoad(0, "agent-1");
        beginLoad(0, "agent-2");
        mState.apply(TestCommands.endLoad(superseded));
        assertThat(beginLoad(0, "agent-3")).isEqualTo(0);
    }

    @Test
    void aLoadThatDoesNotEndFreesItsSlotAfterItsTimeout() {
        beginLoad(0, "agent-1");
        beginLoad(0, "agent-2");
        assertThat(beginLoad(4_999, "agent-3")).isEqualTo(0);
        assertThat(beginLoad(5_000, "agent-3")).isEqualTo(3);
    }
}
