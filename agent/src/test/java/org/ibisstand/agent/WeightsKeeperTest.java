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
import org.ibisstand.wire.message.EngineNotice;
import org.ibisstand.wire.message.EngineNotices;
import org.ibisstand.wire.message.ServerRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WeightsKeeperTest {
    private static final String ADDRESS = "10.0.0.1:1";

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final Office mOffice = new Office();
    private final List<EngineNotice> mNotices = new ArrayList<>();
    private final WeightsKeeper mKeeper =
            new WeightsKeeper(mOffice, ADDRESS, mClock, Runnable::run, "agent", mNotices::add);

    @Test
    void tellsEntriesBeforeItOrders() {
        named(2);

        mKeeper.tick();

        assertThat(mNotices.getLast().getLoading()).isTrue();
        assertThat(mOffice.mOrders).isEmpty();
    }

    @Test
    void ordersOnceTheEngineIsEmpty() {
        named(2);
        ticks(Duration.ofMillis(200));

        assertThat(mOffice.mOrders).containsExactly("2 waits 7");
    }

    @Test
    void doesNotWaitForTheLongestAnswers() {
        mOffice.mRunning = 3;
        named(2);
        ticks(Duration.ofMillis(500));
        assertThat(mOffice.mOrders).isEmpty();

        ticks(Duration.ofMillis(400));

        assertThat(mOffice.mOrders).containsExactly("2 continues 7");
    }

    @ParameterizedTest
    @CsvSource({"2, 400, 2000", "2, 600, 700", "1, 400, 700"})
    void waitsLongerWhereNoOtherEngineCanTakeTheRunsOverAndOthersHaveRoom(
            long othersVersion, long othersTokens, long waits) {
        mOffice.mRunning = 3;
        mKeeper.update(
                new FleetState(
                        Optional.empty(),
                        Map.of("model", 2L),
                        List.of(
                                record("self", ADDRESS, 1),
                                record("other", "10.0.0.2:1", othersVersion)),
                        1));
        mKeeper.noticed(
                EngineNotices.newBuilder()
                        .addEngines(
                                EngineNotice.newBuilder()
                                        .setAddress("10.0.0.2:1")
                                        .setUsedTokens(othersTokens)
                                        .setCapacityTokens(1_000))
                        .build());
        ticks(Duration.ofMillis(waits));
        assertThat(mOffice.mOrders).isEmpty();

        ticks(Duration.ofMillis(200));

        assertThat(mOffice.mOrders).containsExactly("2 continues 7");
    }

    @Test
    void skipsWeightsThatWereOvertaken() {
        named(2);
        named(3);
        ticks(Duration.ofMillis(200));

        assertThat(mOffice.mOrders).containsExactly("3 waits 7");
    }

    @Test
    void ordersAgainForAnEngineThatCameBackWithOlderWeights() {
        named(2);
        ticks(Duration.ofMillis(200));
        mOffice.mVersion = 2;
        ticks(Duration.ofMillis(200));
        mOffice.mVersion = 1;
        mOffice.mSequence = 0;
        ticks(Duration.ofMillis(300));

        assertThat(mOffice.mOrders).containsExactly("2 waits 7", "2 waits 0");
    }

    @Test
    void tellsThatTheEngineCannotBeReached() {
        mOffice.mFails = true;

        mKeeper.tick();

        assertThat(mNotices.getLast().getUnreachable()).isTrue();
    }

    private void named(long version) {
        mKeeper.update(
                new FleetState(
                        Optional.empty(),
                        Map.of("model", version),
                        List.of(record("self", ADDRESS, 1)),
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

    private void ticks(Duration duration) {
        for (long passed = 0; passed < duration.toMillis(); passed += 100) {
            mKeeper.tick();
            mClock.advance(Duration.ofMillis(100));
        }
    }

    /** An engine that accepts every order and changes nothing by itself. */
    private static final class Office implements ManagedEngine {
        private final List<String> mOrders = new ArrayList<>();
        private long mVersion = 1;
        private long mSequence = 7;
        private int mRunning;
        private boolean mFails;

        @Override
        public CompletableFuture<EngineStatus> status() {
            if (mFails) {
                return CompletableFuture.failedFuture(new IllegalStateException("refused"));
            }
            return CompletableFuture.completedFuture(
                    new EngineStatus(
                            Map.of("model", mVersion), false, mSequence, mRunning, 0, 0, 0));
        }

        @Override
        public CompletableFuture<Boolean> load(
                String model, long version, boolean waits, long expectedSequence) {
            mOrders.add(version + (waits ? " waits " : " continues ") + expectedSequence);
            mVersion = version;
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<CacheEvents> cacheEvents(long since) {
            return CompletableFuture.completedFuture(new CacheEvents(1, 0, false, List.of()));
        }
    }
}
