package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;

class RunResumptionTest {
    private static final long NOW = 1_000;

    private final ServerRecord mTargetRecord = record("target", 1);
    private final BackendServer mTarget = server(mTargetRecord);
    private final BackendServer mSource = server(record("source", 2));
    private final RunResumption mResumption =
            new RunResumption(
                    mSource,
                    CacheScope.NONE,
                    List.of(
                            new RunResumption.Place(mTarget, "10.0.0.2:80/h", 0),
                            new RunResumption.Place(mSource, "10.0.0.2:80/h", 0)));

    /** Requests to engines that refuse count against the budget of all gateways. */
    @Test
    void enginesThatAreFullAreTriedAFewTimesInTurn() {
        List<String> tried = new ArrayList<>();
        long waited = 0;
        Optional<RunResumption.Retry> retry = mResumption.next(NOW);
        while (retry.isPresent()) {
            tried.add(retry.get().place().server().name());
            waited += retry.get().pauseMilliseconds();
            mResumption.refusedUntil(NOW);
            retry = mResumption.next(NOW);
        }

        assertThat(tried)
                .containsExactly(
                        "target", "source", "target", "source", "target", "source", "target")
                .inOrder();
        assertThat(waited).isEqualTo(3_100);
    }

    @Test
    void anEngineThatRefusedForGoodIsNotTriedAgain() {
        mResumption.next(NOW);
        mResumption.next(NOW);
        mResumption.refusedUntil(NOW);

        assertThat(mResumption.next(NOW).map(retry -> retry.place().server())).hasValue(mSource);
        assertThat(mResumption.next(NOW)).isEmpty();
    }

    @Test
    void anEngineIsNotTriedBeforeTheTimeThatItNamed() {
        mResumption.next(NOW);
        mResumption.refusedUntil(NOW + 900);
        mResumption.next(NOW);

        assertThat(mResumption.next(NOW).map(RunResumption.Retry::pauseMilliseconds))
                .hasValue(900L);
    }

    @Test
    void anEngineThatNamesTooLateATimeIsGivenUp() {
        mResumption.next(NOW);
        mResumption.refusedUntil(NOW + 30_000);
        mResumption.next(NOW);

        assertThat(mResumption.next(NOW)).isEmpty();
    }

    /** Engines that leave end a while later; requests that reach them then are lost. */
    @Test
    void anEngineThatLeftLongAgoIsNotTried() {
        mTarget.update(
                mTargetRecord.toBuilder().setState(ServerRecord.State.DRAINING).build(), NOW);

        assertThat(mResumption.next(NOW + 1_500).map(retry -> retry.place().server()))
                .hasValue(mSource);
    }

    private static BackendServer server(ServerRecord record) {
        return new BackendServer(record, new StatedAvailability(new SplittableRandom(1)));
    }

    private static ServerRecord record(String name, int host) {
        return ServerRecord.newBuilder()
                .setServer(name)
                .setAddress("10.0.0." + host + ":80")
                .build();
    }
}
