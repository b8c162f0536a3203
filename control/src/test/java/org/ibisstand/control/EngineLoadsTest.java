package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineLoadsTest {
    private static final int MAXIMUM_LOADS = 2;

    private ControlState mState = ControlState.empty();

    private long begin(long now, String agent) {
        return mState.apply(Commands.beginLoad(now, agent, MAXIMUM_LOADS))
                .getLoad()
                .getFencingNumber();
    }

    private void restart(boolean restarted) {
        if (restarted) {
            mState = Commands.restarted(mState);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aThirdLoadWaitsForTheEndOfAnother(boolean restarted) {
        long first = begin(0, "agent-1");
        long second = begin(0, "agent-2");
        restart(restarted);
        assertThat(begin(1, "agent-3")).isEqualTo(0);
        mState.apply(Commands.endLoad(first));
        restart(restarted);
        assertThat(begin(1, "agent-3")).isGreaterThan(second);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRenewedOrderOutranksTheOneWhoseAnswerWasLost(boolean restarted) {
        long lost = begin(0, "agent-1");
        restart(restarted);
        long renewed = begin(1, "agent-1");
        assertThat(renewed).isGreaterThan(lost);
        assertThat(mState.loads()).hasSize(1);
    }

    @Test
    void theEndOfAnOvertakenOrderFreesNoPlace() {
        long overtaken = begin(0, "agent-1");
        begin(0, "agent-1");
        begin(0, "agent-2");
        mState.apply(Commands.endLoad(overtaken));
        assertThat(begin(0, "agent-3")).isEqualTo(0);
    }

    @Test
    void aLoadWithoutAnEndFreesItsPlaceAfterItsTimeout() {
        begin(0, "agent-1");
        begin(0, "agent-2");
        assertThat(begin(4_999, "agent-3")).isEqualTo(0);
        assertThat(begin(5_000, "agent-3")).isEqualTo(3);
    }
}
