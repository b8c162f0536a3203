package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.ibisstand.base.ManualClock;
import org.ibisstand.fleet.FleetState;
import org.ibisstand.settings.Address;
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class WeightsUpdaterTest {
    private static final String ADDRESS = "10.0.0.1:1";

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final FakeEngine mEngine = new FakeEngine();
    private final List<EngineNotice> mNotices = new ArrayList<>();
    private final WeightsUpdater mUpdater =
            new WeightsUpdater(
                    mEngine,
                    ADDRESS,
                    mClock,
                    Runnable::run,
                    () -> new Address("agent", 1),
                    mNotices::add);

    @Test
    void announcesLoadingBeforeItSendsTheLoadOrder() {
        setTargetVersion(2);

        mUpdater.tick();

        assertThat(mNotices.getLast().getLoading()).isTrue();
        assertThat(mEngine.mOrders).isEmpty();
    }

    @Test
    void sendsTheLoadOrderOnceTheEngineIsIdle() {
        setTargetVersion(2);
        tickFor(Duration.ofMillis(200));

        assertThat(mEngine.mOrders).containsExactly("2 FINISH_FIRST 7");
    }

    /**
     * A run that continued under newer weights was preempted, and its engine cached its recomputed
     * prompt under the salt of the older weights, where engines with those found it.
     */
    @ParameterizedTest
    @CsvSource({"0, FINISH_FIRST", "300, FINISH_FIRST", "500, FINISH_FIRST", "60000, RESET"})
    void runsContinuedUnderNewerWeights(long runMilliseconds, RunHandling expectedHandling) {
        mEngine.mRunning = 3;
        setTargetVersion(2);
        Instant runEnd = mClock.instant().plusMillis(runMilliseconds);
        while (mEngine.mOrders.isEmpty()) {
            mEngine.mRunning = mClock.instant().isBefore(runEnd) ? 3 : 0;
            tickFor(Duration.ofMillis(100));
        }

        assertThat(mEngine.mOrders).containsExactly("2 " + expectedHandling + " 7");
    }

    @ParameterizedTest
    @CsvSource({"2, 400, 8000", "2, 600, 700", "1, 400, 5000", "1, 600, 700"})
    void drainsLongerWhenRunsCannotBeMovedAndOthersHaveSpareCapacity(
            long othersVersion, long othersTokens, long drainMilliseconds) {
        mEngine.mRunning = 3;
        mUpdater.update(
                new FleetState(
                        Optional.empty(),
                        Map.of("model", 2L),
                        List.of(
                                record("self", ADDRESS, 1),
                                record("other", "10.0.0.2:1", othersVersion)),
                        1));
        mUpdater.updateNotices(
                EngineNotices.newBuilder()
                        .addEngines(
                                EngineNotice.newBuilder()
                                        .setAddress("10.0.0.2:1")
                                        .setUsedTokens(othersTokens)
                                        .setCapacityTokens(1_000))
                        .build());
        tickFor(Duration.ofMillis(drainMilliseconds));
        assertThat(mEngine.mOrders).isEmpty();

        tickFor(Duration.ofMillis(200));

        assertThat(mEngine.mOrders).containsExactly("2 RESET 7");
    }

    /** A run that may execute only once and cannot be moved is lost to its caller. */
    @ParameterizedTest
    @ValueSource(longs = {800, 2_000, 4_800})
    void runsThatCouldNotBeMovedWereResetThoughTheyEndSoon(long runMilliseconds) {
        mEngine.mRunning = 3;
        setTargetVersion(2);
        tickFor(Duration.ofMillis(runMilliseconds));
        mEngine.mRunning = 0;
        tickFor(Duration.ofMillis(200));

        assertThat(mEngine.mOrders).containsExactly("2 FINISH_FIRST 7");
    }

    /** A version that follows quickly does not let the last engine wait anew. */
    @Test
    void countsTheOutdatedTimeFromTheFirstVersionThatWasNotLoaded() {
        mEngine.mRunning = 3;
        setTargetVersion(2, 2);
        tickFor(Duration.ofSeconds(5));
        setTargetVersion(3, 2);
        tickFor(Duration.ofMillis(2_900));
        assertThat(mEngine.mOrders).isEmpty();

        tickFor(Duration.ofMillis(300));

        assertThat(mEngine.mOrders).containsExactly("3 RESET 7");
    }

    @Test
    void drainsTheLastEngineAlsoWhenItsWeightsHaveLongBeenOutdated() {
        mEngine.mVersion = 2;
        setTargetVersion(2, 2);
        tickFor(Duration.ofSeconds(20));
        mEngine.mVersion = 1;
        mEngine.mRunning = 3;
        tickFor(Duration.ofMillis(600));
        assertThat(mEngine.mOrders).isEmpty();

        tickFor(Duration.ofMillis(300));

        assertThat(mEngine.mOrders).containsExactly("2 RESET 7");
    }

    @Test
    void drainsAnewForAVersionThatIsAnnouncedDuringALoad() {
        setTargetVersion(2);
        tickFor(Duration.ofMillis(200));
        mEngine.mLoading = true;
        setTargetVersion(3);
        tickFor(Duration.ofSeconds(3));
        mEngine.mLoading = false;
        mEngine.mRunning = 3;
        tickFor(Duration.ofMillis(600));

        assertThat(mEngine.mOrders).containsExactly("2 FINISH_FIRST 7");
    }

    @Test
    void skipsSupersededVersions() {
        setTargetVersion(2);
        setTargetVersion(3);
        tickFor(Duration.ofMillis(200));

        assertThat(mEngine.mOrders).containsExactly("3 FINISH_FIRST 7");
    }

    @Test
    void repeatsTheLoadOrderForAnEngineThatRestartedWithOlderWeights() {
        setTargetVersion(2);
        tickFor(Duration.ofMillis(200));
        mEngine.mVersion = 2;
        tickFor(Duration.ofMillis(200));
        mEngine.mVersion = 1;
        mEngine.mSequence = 0;
        tickFor(Duration.ofMillis(300));

        assertThat(mEngine.mOrders).containsExactly("2 FINISH_FIRST 7", "2 FINISH_FIRST 0");
    }

    @Test
    void announcesAnUnreachableEngine() {
        mEngine.mFails = true;

        mUpdater.tick();

        assertThat(mNotices.getLast().getUnreachable()).isTrue();
    }

    private void setTargetVersion(long version) {
        mUpdater.update(
                new FleetState(
                        Optional.empty(),
                        Map.of("model", version),
                        List.of(record("self", ADDRESS, 1)),
                        1));
    }

    private void setTargetVersion(long version, long othersVersion) {
        mUpdater.update(
                new FleetState(
                        Optional.empty(),
                        Map.of("model", version),
                        List.of(
                                record("self", ADDRESS, 1),
                                record("other", "10.0.0.2:1", othersVersion)),
                        1));
    }

    private static ServerRecord record(String server, String address, long version) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setService("service")
                .setAddress(address)
                .putWeights("model", version)
                .build();
    }

    private void tickFor(Duration duration) {
        for (long elapsed = 0; elapsed < duration.toMillis(); elapsed += 100) {
            mUpdater.tick();
            mClock.advance(Duration.ofMillis(100));
        }
    }

    /** Accepts every load order; its state changes only through orders and the test. */
    private static final class FakeEngine implements ManagedEngine {
        /** Each order as its version, what happens to runs, and its sequence. */
        private final List<String> mOrders = new ArrayList<>();

        private long mVersion = 1;
        private long mSequence = 7;
        private int mRunning;
        private boolean mLoading;
        private boolean mFails;

        @Override
        public CompletableFuture<EngineStatus> status() {
            if (mFails) {
                return CompletableFuture.failedFuture(
                        new IllegalStateException("connection refused"));
            }
            return CompletableFuture.completedFuture(
                    new EngineStatus(
                            Map.of("model", mVersion), mLoading, mSequence, mRunning, 0, 0, 0));
        }

        @Override
        public CompletableFuture<Boolean> load(
                String model, long version, RunHandling runHandling, long expectedSequence) {
            mOrders.add(version + " " + runHandling + " " + expectedSequence);
            mVersion = version;
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<CacheEvents> cacheEvents(long cursor) {
            return CompletableFuture.completedFuture(new CacheEvents(1, 0, false, List.of()));
        }
    }
}
