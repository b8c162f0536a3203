package org.ibisstand.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.ibisstand.wire.message.FleetUpdate;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;
import org.junit.jupiter.api.Test;

class FleetMergeTest {
    @Test
    void aServerThatOneMemberListsIsThere() {
        FleetUpdate cutOff = update(true);
        FleetUpdate inTouch = update(true, record("a", 1, 1, State.READY));

        assertThat(FleetMerge.servers(List.of(cutOff, inTouch), List.of())).hasSize(1);
    }

    @Test
    void aServerThatOneMemberKnowsToHaveLeftIsNot() {
        FleetUpdate late = update(true, record("a", 1, 9, State.READY));
        FleetUpdate knowing = update(true, record("a", 1, 2, State.GONE));

        assertThat(FleetMerge.servers(List.of(late, knowing), List.of())).isEmpty();
        assertThat(FleetMerge.servers(List.of(knowing, late), List.of())).isEmpty();
    }

    @Test
    void theLaterIncarnationWins() {
        FleetUpdate late = update(true, record("a", 1, 9, State.GONE));
        FleetUpdate knowing = update(true, record("a", 2, 1, State.READY));

        List<ServerRecord> servers = FleetMerge.servers(List.of(late, knowing), List.of());

        assertThat(servers).hasSize(1);
        assertThat(servers.getFirst().getBornMilliseconds()).isEqualTo(2);
    }

    @Test
    void drainingWinsOverALaterSequence() {
        FleetUpdate late = update(true, record("a", 1, 9, State.READY));
        FleetUpdate knowing = update(true, record("a", 1, 2, State.DRAINING));

        List<ServerRecord> servers = FleetMerge.servers(List.of(late, knowing), List.of());

        assertThat(servers.getFirst().getState()).isEqualTo(State.DRAINING);
    }

    @Test
    void membersThatJustStartedRemoveNothing() {
        List<ServerRecord> before = List.of(record("a", 1, 1, State.READY));

        assertThat(FleetMerge.servers(List.of(update(false)), before)).hasSize(1);
        assertThat(FleetMerge.servers(List.of(update(true)), before)).isEmpty();
    }

    @Test
    void weightsNeverGoBack() {
        FleetUpdate update = FleetUpdate.newBuilder().putWeights("m", 2).build();

        assertThat(FleetMerge.weights(List.of(update), Map.of("m", 3L))).containsExactly("m", 3L);
    }

    @Test
    void aChangeIsJoinedToWhatTheMemberHadTold() {
        FleetUpdate before =
                update(
                        true,
                        record("a", 1, 1, State.READY),
                        record("b", 1, 1, State.READY),
                        record("c", 1, 1, State.READY));
        FleetUpdate change =
                update(true, record("b", 1, 2, State.DRAINING), record("d", 1, 1, State.READY))
                        .toBuilder()
                        .addUnlisted("c")
                        .build();

        FleetUpdate joined = FleetMerge.joined(before, change);

        assertThat(joined.getServersList().stream().map(ServerRecord::getServer))
                .containsExactly("a", "b", "d");
        assertThat(joined.getServers(1).getState()).isEqualTo(State.DRAINING);
        assertThat(FleetMerge.joined(joined, change.toBuilder().setWhole(true).build()))
                .isEqualTo(change.toBuilder().setWhole(true).build());
    }

    private static FleetUpdate update(boolean complete, ServerRecord... records) {
        return FleetUpdate.newBuilder()
                .setComplete(complete)
                .addAllServers(List.of(records))
                .build();
    }

    private static ServerRecord record(String server, long born, long sequence, State state) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setBornMilliseconds(born)
                .setSequence(sequence)
                .setState(state)
                .build();
    }
}
