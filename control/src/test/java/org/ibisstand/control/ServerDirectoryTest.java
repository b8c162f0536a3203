package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServerDirectoryTest {
    private static final Duration ANNOUNCEMENT_INTERVAL = Duration.ofMillis(1000);
    private static final Instant START_TIME = Instant.EPOCH;

    private final ServerDirectory mDirectory =
            ServerDirectory.create(ANNOUNCEMENT_INTERVAL, START_TIME);

    @Test
    void keepsTheNewestAnnouncementInAnyOrder() {
        mDirectory.merge(record("a", 1, 5, State.DRAINING), START_TIME);
        mDirectory.merge(record("a", 1, 4, State.READY), START_TIME);

        assertThat(stateOf("a")).isEqualTo(State.DRAINING);
    }

    @Test
    void aDrainingServerDoesNotBecomeReadyAgain() {
        mDirectory.merge(record("a", 1, 5, State.DRAINING), START_TIME);
        mDirectory.merge(record("a", 1, 6, State.READY), START_TIME);

        assertThat(stateOf("a")).isEqualTo(State.DRAINING);
    }

    @Test
    void aDelayedAnnouncementDoesNotRestoreAServerThatLeft() {
        mDirectory.merge(record("a", 1, 5, State.READY), START_TIME);
        mDirectory.merge(record("a", 1, 5, State.GONE), START_TIME);
        mDirectory.merge(record("a", 1, 9, State.READY), START_TIME);

        assertThat(stateOf("a")).isEqualTo(State.GONE);
    }

    @Test
    void aDelayedAnnouncementOfAnOlderIncarnationIsIgnored() {
        mDirectory.merge(record("a", 2, 1, State.READY), START_TIME);
        mDirectory.merge(record("a", 1, 99, State.DRAINING), START_TIME);

        assertThat(stateOf("a")).isEqualTo(State.READY);
    }

    @Test
    void aNewServerAtAnAddressReplacesThePreviousOne() {
        mDirectory.merge(record("a", 1, 1, State.READY), START_TIME);
        mDirectory.merge(
                record("b", 2, 1, State.READY).toBuilder().setAddress("10.0.0.1:1").build(),
                START_TIME);
        mDirectory.merge(record("a", 1, 2, State.READY), START_TIME);

        assertThat(stateOf("a")).isEqualTo(State.GONE);
        assertThat(stateOf("b")).isEqualTo(State.READY);
    }

    /** Guards against one record of another writer that keeps a server out for good. */
    @Test
    void aServerOutlivesARecordThatOutranksItsOwn() {
        mDirectory.merge(record("a", 1, 1, State.READY), START_TIME);
        mDirectory.merge(record("a", 1, 1_000_000, State.READY), START_TIME);
        Instant afterTimeout = advanceClock(ANNOUNCEMENT_INTERVAL.multipliedBy(5));

        mDirectory.merge(record("a", 1, 6, State.READY), afterTimeout);

        assertThat(mDirectory.records()).hasSize(1);
    }

    /** Guards against one record of another writer that takes the address of a server for good. */
    @Test
    void aServerOutlivesARecordThatTookItsAddress() {
        mDirectory.merge(record("a", 1, 1, State.READY), START_TIME);
        mDirectory.merge(
                record("b", 2, 1, State.READY).toBuilder().setAddress("10.0.0.1:1").build(),
                START_TIME);
        mDirectory.merge(record("a", 1, 2, State.READY), START_TIME);
        assertThat(stateOf("a")).isEqualTo(State.GONE);
        Instant afterTimeout = advanceClock(ANNOUNCEMENT_INTERVAL.multipliedBy(5));

        mDirectory.merge(record("a", 1, 7, State.READY), afterTimeout);

        assertThat(stateOf("a")).isEqualTo(State.READY);
    }

    @Test
    void theNumberOfServersIsBounded() {
        for (int server = 0; server < 21_000; server++) {
            ServerRecord record =
                    record("a", 1, 1, State.READY).toBuilder()
                            .setServer("server-" + server)
                            .setAddress("10.0.0.1:" + server)
                            .build();
            mDirectory.merge(record, START_TIME);
        }

        assertThat(mDirectory.records().size()).isAtMost(20_000);
    }

    @Test
    void aServerThatStopsAnnouncingIsUnlistedUntilItAnnouncesAgain() {
        mDirectory.merge(record("a", 1, 1, State.READY), START_TIME);
        Instant afterTimeout = advanceClock(ANNOUNCEMENT_INTERVAL.multipliedBy(5));
        assertThat(mDirectory.records()).isEmpty();

        mDirectory.merge(record("a", 1, 2, State.READY), afterTimeout);

        assertThat(mDirectory.records()).hasSize(1);
    }

    @Test
    void aPauseOfTheMemberUnlistsNoServer() {
        mDirectory.merge(record("a", 1, 1, State.READY), START_TIME);

        mDirectory.tick(START_TIME.plus(ANNOUNCEMENT_INTERVAL.multipliedBy(20)));

        assertThat(mDirectory.records()).hasSize(1);
    }

    @Test
    void isCompleteOnceAllServersMustHaveAnnouncedThemselves() {
        assertThat(mDirectory.isComplete(START_TIME)).isFalse();
        assertThat(mDirectory.isComplete(START_TIME.plus(ANNOUNCEMENT_INTERVAL.multipliedBy(4))))
                .isTrue();
    }

    /** Checks that a watcher that applies changes has the same records as the full list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void applyingChangesGivesTheSameRecordsAsTheFullList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, ServerRecord> known = new TreeMap<>();
        long revision = 0;
        Instant now = START_TIME;
        for (int step = 0; step < 3_000; step++) {
            now = now.plusMillis(random.nextInt(200));
            mDirectory.tick(now);
            String server = "server-" + random.nextInt(12);
            State state = State.forNumber(random.nextInt(10) / 8);
            mDirectory.merge(
                    record(server, 1 + step / 1_000, step, state).toBuilder()
                            .setAddress("10.0.0.1:" + random.nextInt(20))
                            .build(),
                    now);
            if (random.nextInt(4) == 0) {
                if (!mDirectory.canListChangesSince(revision)) {
                    known.clear();
                    mDirectory
                            .records()
                            .forEach(
                                    serverRecord ->
                                            known.put(serverRecord.getServer(), serverRecord));
                }
                mDirectory
                        .changedSince(revision)
                        .forEach(serverRecord -> known.put(serverRecord.getServer(), serverRecord));
                known.keySet().removeAll(mDirectory.unlistedSince(revision));
                revision = mDirectory.revision();

                assertThat(describeStates(known.values()))
                        .containsExactlyElementsIn(describeStates(mDirectory.records()));
            }
        }
    }

    private static List<String> describeStates(Collection<ServerRecord> records) {
        return records.stream()
                .map(
                        serverRecord ->
                                serverRecord.getServer()
                                        + serverRecord.getState()
                                        + serverRecord.getAddress()
                                        + serverRecord.getBornMilliseconds())
                .toList();
    }

    private Instant advanceClock(Duration duration) {
        Instant now = START_TIME;
        while (now.isBefore(START_TIME.plus(duration))) {
            now = now.plusMillis(100);
            mDirectory.tick(now);
        }
        return now;
    }

    private State stateOf(String server) {
        return mDirectory.find(server).orElseThrow().getState();
    }

    private static ServerRecord record(
            String server, long bornMilliseconds, long sequence, State state) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setService("service")
                .setAddress("10.0.0.1:1")
                .setBornMilliseconds(bornMilliseconds)
                .setSequence(sequence)
                .setState(state)
                .build();
    }
}
