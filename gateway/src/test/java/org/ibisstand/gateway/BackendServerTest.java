package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private final BackendServer mServer =
            new BackendServer(
                    ServerRecord.newBuilder()
                            .setServer("s")
                            .setAddress("10.0.0.1:1")
                            .putWeights("m", 1)
                            .build());

    @Test
    void onlyOneRequestAtATimeFindsOutWhetherAFailedServerIsBack() {
        mServer.failed(0);
        assertThat(mServer.isPaused(49)).isTrue();
        assertThat(mServer.isPaused(51)).isFalse();

        mServer.sent(Samples.attempt(mServer), 0, 51);

        assertThat(mServer.isPaused(52)).isTrue();
    }

    @Test
    void pausesGrowAndEndWithTheFirstAnswer() {
        for (int failure = 0; failure < 10; failure++) {
            mServer.failed(0);
        }
        assertThat(mServer.isPaused(1_999)).isTrue();
        assertThat(mServer.isPaused(2_001)).isFalse();

        mServer.succeeded();

        assertThat(mServer.isPaused(0)).isFalse();
    }

    @Test
    void weightsAreTheNewestThatAnySourceTells() {
        mServer.noticed(EngineNotice.newBuilder().putWeights("m", 2).build(), 0);
        assertThat(mServer.weights("m")).isEqualTo(2);

        mServer.learnedWeights("m", 3);

        assertThat(mServer.weights("m")).isEqualTo(3);
    }

    @Test
    void aLateNoticeOfOlderWeightsIsNotBelieved() {
        mServer.noticed(EngineNotice.newBuilder().putWeights("m", 3).build(), 0);
        mServer.noticed(EngineNotice.newBuilder().putWeights("m", 2).build(), 1);

        assertThat(mServer.observedWeights("m")).isEqualTo(3);
    }

    @Test
    void anEngineThatItsAgentCannotReachIsPassedOver() {
        mServer.noticed(EngineNotice.newBuilder().setUnreachable(true).build(), 0);

        assertThat(mServer.isPaused(100)).isTrue();
        assertThat(mServer.isPaused(10_000)).isFalse();
    }
}
