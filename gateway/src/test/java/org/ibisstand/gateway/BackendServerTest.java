package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
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
                            .build(),
                    new StatedAvailability(new SplittableRandom(1)));

    @Test
    void onlyOneRequestAtATimeProbesAFailedServer() {
        mServer.recordFailure(0);
        assertThat(mServer.isBackingOff(49)).isTrue();
        assertThat(mServer.isBackingOff(51)).isFalse();

        mServer.attemptSent(Samples.unsentAttempt(mServer), 0, 51);

        assertThat(mServer.isBackingOff(52)).isTrue();
    }

    @Test
    void theBackoffGrowsUntilTheFirstSuccess() {
        for (int failure = 0; failure < 10; failure++) {
            mServer.recordFailure(0);
        }
        assertThat(mServer.isBackingOff(1_999)).isTrue();
        assertThat(mServer.isBackingOff(2_001)).isFalse();

        mServer.recordSuccess();

        assertThat(mServer.isBackingOff(0)).isFalse();
    }

    @Test
    void runsMoveFromAServerThatSaidItLeavesWhateverItsRecordSays() {
        mServer.recordLeaving(0);
        mServer.update(mServer.record(), 1);

        assertThat(mServer.acceptsRequests()).isFalse();
        assertThat(mServer.shouldMoveRuns(799)).isFalse();
        assertThat(mServer.shouldMoveRuns(801)).isTrue();
    }

    @Test
    void theWeightsVersionIsTheNewestReportedByAnySource() {
        mServer.updateNotice(EngineNotice.newBuilder().putWeights("m", 2).build(), 0);
        assertThat(mServer.expectedWeights("m")).isEqualTo(2);

        mServer.recordResponseWeights("m", 3);

        assertThat(mServer.expectedWeights("m")).isEqualTo(3);
    }

    @Test
    void aLateNoticeOfOlderWeightsIsIgnored() {
        mServer.updateNotice(EngineNotice.newBuilder().putWeights("m", 3).build(), 0);
        mServer.updateNotice(EngineNotice.newBuilder().putWeights("m", 2).build(), 1);

        assertThat(mServer.observedWeights("m")).isEqualTo(3);
    }

    @Test
    void anEngineUnreachableFromItsAgentBacksOffUntilTheNoticeExpires() {
        mServer.updateNotice(EngineNotice.newBuilder().setUnreachable(true).build(), 0);

        assertThat(mServer.isBackingOff(100)).isTrue();
        assertThat(mServer.isBackingOff(10_000)).isFalse();
    }
}
