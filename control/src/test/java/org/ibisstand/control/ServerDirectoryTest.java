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
    private static final Duration INTERVAL = Duration.ofMillis(1000);
    private static final Instant START = Instant.EPOCH;

    private final ServerDirectory mDirectory = ServerDirectory.create(INTERVAL, START);

    @Test
    void keepsTheNewestAnnouncementWhateverTheOrder() {
        mDirectory.heard(record("a", 1, 5, State.DRAINING), START);
        mDirectory.heard(record("a", 1, 4, State.READY), START);

        assertThat(stateOf("a")).isEqualTo(State.DRAINING);
    }

    @Test
    void neverTakesBackThatAServerLeaves() {
        mDirectory.heard(record("a", 1, 5, State.DRAINING), START);
        mDirectory.heard(record("a", 1, 6, State.READY), START);

        assertThat(stateOf("a")).isEqualTo(State.DRAINING);
    }

    @Test
    void aLateAnnouncementDoesNotBringBackAServerThatLeft() {
        mDirectory.heard(record("a", 1, 5, State.READY), START);
        mDirectory.heard(record("a", 1, 5, State.GONE), START);
        mDirectory.heard(record("a", 1, 9, State.READY), START);

        assertThat(stateOf("a")).isEqualTo(State.GONE);
    }

    @Test
    void aLateAnnouncementOfAnOlderIncarnationIsDropped() {
        mDirectory.heard(record("a", 2, 1, State.READY), START);
        mDirectory.heard(record("a", 1, 99, State.DRAINING), START);

        assertThat(stateOf("a")).isEqualTo(State.READY);
    }

    @Test
    void aNewServerAtAnAddressEndsTheFormerOne() {
        mDirectory.heard(record("a", 1, 1, State.READY), START);
        mDirectory.heard(
                record("b", 2, 1, State.READY).toBuilder().setAddress("10.0.0.1:1").build(), START);
        mDirectory.heard(record("a", 1, 2, State.READY), START);

        assertThat(stateOf("a")).isEqualTo(State.GONE);
        assertThat(stateOf("b")).isEqualTo(State.READY);
    }

    @Test
    void leavesOutASilentServerUntilItSpeaksAgain() {
        mDirectory.heard(record("a", 1, 1, State.READY), START);
        Instant late = passed(INTERVAL.multipliedBy(5));
        assertThat(mDirectory.records()).isEmpty();

        mDirectory.heard(record("a", 1, 2, State.READY), late);

        assertThat(mDirectory.records()).hasSize(1);
    }

    @Test
    void aPauseOfTheMemberItselfEndsNoServer() {
        mDirectory.heard(record("a", 1, 1, State.READY), START);

        mDirectory.tick(START.plus(INTERVAL.multipliedBy(20)));

        assertThat(mDirectory.records()).hasSize(1);
    }

    @Test
    void isCompleteOnceAllServersMustHaveSpoken() {
        assertThat(mDirectory.isComplete(START)).isFalse();
        assertThat(mDirectory.isComplete(START.plus(INTERVAL.multipliedBy(4)))).isTrue();
    }

    /** A watcher that applies changes knows what one knows that gets whole lists, seed by seed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changesTellAllThatTheWholeListTells(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, ServerRecord> known = new TreeMap<>();
        long revision = 0;
        Instant now = START;
        for (int step = 0; step < 3_000; step++) {
            now = now.plusMillis(random.nextInt(200));
            mDirectory.tick(now);
            String server = "server-" + random.nextInt(12);
            State state = State.forNumber(random.nextInt(10) / 8);
            mDirectory.heard(
                    record(server, 1 + step / 1_000, step, state).toBuilder()
                            .setAddress("10.0.0.1:" + random.nextInt(20))
                            .build(),
                    now);
            if (random.nextInt(4) == 0) {
                if (!mDirectory.tellsChangesSince(revision)) {
                    known.clear();
                    mDirectory.records().forEach(one -> known.put(one.getServer(), one));
                }
                mDirectory.changedSince(revision).forEach(one -> known.put(one.getServer(), one));
                known.keySet().removeAll(mDirectory.unlistedSince(revision));
                revision = mDirectory.revision();

                assertThat(states(known.values()))
                        .containsExactlyElementsIn(states(mDirectory.records()));
            }
        }
    }

    private static List<String> states(Collection<ServerRecord> records) {
        return records.stream()
                .map(
                        one ->
                                one.getServer()
                                        + one.getState()
                                        + one.getAddress()
                                        + one.getBornMilliseconds())
                .toList();
    }

    private Instant passed(Duration duration) {
        Instant now = START;
        while (now.isBefore(START.plus(duration))) {
            now = now.plusMillis(100);
            mDirectory.tick(now);
        }
        return now;
    }

    private State stateOf(String server) {
        return mDirectory.find(server).orElseThrow().getState();
    }

    private static ServerRecord record(String server, long born, long sequence, State state) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setService("service")
                .setAddress("10.0.0.1:1")
                .setBornMilliseconds(born)
                .setSequence(sequence)
                .setState(state)
                .build();
    }
}
