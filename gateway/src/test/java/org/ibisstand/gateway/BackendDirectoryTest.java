package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BackendDirectoryTest {
    private static final RoutedService SERVICE =
            new RoutedService("s", "/health", 70, Optional.empty(), Optional.empty());

    private final BackendDirectory mDirectory = new BackendDirectory(new SplittableRandom(1));

    /** Guards against one record that stops a gateway from following all others. */
    @ParameterizedTest
    @ValueSource(strings = {"", "nowhere", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", ":1"})
    void aRecordThatCannotBeUsedIsSkipped(String address) {
        ServerRecord sound =
                ServerRecord.newBuilder().setServer("sound").setAddress("10.0.0.1:1").build();
        ServerRecord odd = ServerRecord.newBuilder().setServer("odd").setAddress(address).build();

        mDirectory.update(List.of(odd, sound), 0);

        assertThat(mDirectory.servers().stream().map(BackendServer::name).toList())
                .containsExactly("sound");
    }

    @Test
    void allGatewaysTogetherStayWithinTheConnectionLimitOfAServer() {
        mDirectory.setGatewayCount(7);
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer server = mDirectory.available(SERVICE, Set.of(), 0).getFirst();
        int sentRequests = 0;
        while (!mDirectory.available(SERVICE, Set.of(), 0).isEmpty()) {
            server.attemptSent(Samples.unsentAttempt(server), 0, 0);
            sentRequests++;
        }
        assertThat(sentRequests).isEqualTo(10);
    }

    @Test
    void drainingServersReceiveNoRequests() {
        mDirectory.update(List.of(record("a", 1, State.DRAINING), record("b", 1, State.READY)), 0);

        assertThat(readyServerNames()).containsExactly("b");
    }

    /** All runs of an engine were moved at once, at all gateways, after it had been silent. */
    @Test
    void theRunsOfAServerThatWasOnlySilentStayWhereTheyAre() {
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer server = mDirectory.servers().iterator().next();

        mDirectory.update(List.of(), 5_000);
        assertThat(server.acceptsRequests()).isFalse();
        assertThat(server.shouldMoveRuns(10_000)).isFalse();
        assertThat(server.resumesRuns(10_000)).isTrue();

        mDirectory.update(List.of(record("a", 1, State.READY)), 10_000);
        assertThat(mDirectory.servers()).containsExactly(server);
        assertThat(server.acceptsRequests()).isTrue();
        assertThat(server.shouldMoveRuns(20_000)).isFalse();
    }

    @Test
    void aNewIncarnationDoesNotInheritFailures() {
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer previous = mDirectory.available(SERVICE, Set.of(), 0).getFirst();
        previous.recordFailure(0);

        mDirectory.update(List.of(record("a", 2, State.READY)), 0);

        BackendServer current = mDirectory.available(SERVICE, Set.of(), 0).getFirst();
        assertThat(current).isNotSameInstanceAs(previous);
        assertThat(current.isBackingOff(0)).isFalse();
        assertThat(previous.acceptsRequests()).isFalse();
    }

    @Test
    void aServerThatSaidItLeavesStaysOutAfterItWasDelisted() {
        mDirectory.update(List.of(record("a", 1, State.READY), record("b", 1, State.READY)), 0);
        mDirectory.servers().stream()
                .filter(server -> server.name().equals("a"))
                .forEach(server -> server.recordLeaving(0));
        assertThat(readyServerNames()).containsExactly("b");

        mDirectory.update(List.of(record("b", 1, State.READY)), 1);
        mDirectory.update(List.of(record("a", 1, State.READY), record("b", 1, State.READY)), 2);

        assertThat(readyServerNames()).containsExactly("b");
    }

    /** Its response arrives after the control plane delisted the server and listed it again. */
    @Test
    void aServerThatSaysItLeavesInALateResponseStaysOut() {
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer delisted = mDirectory.servers().iterator().next();
        mDirectory.update(List.of(), 1);
        mDirectory.update(List.of(record("a", 1, State.READY)), 2);

        delisted.recordLeaving(3);

        assertThat(readyServerNames()).isEmpty();
    }

    @Test
    void aNewIncarnationOfAServerThatSaidItLeavesReceivesRequests() {
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        mDirectory.servers().forEach(server -> server.recordLeaving(0));

        mDirectory.update(List.of(record("a", 2, State.READY)), 1);

        assertThat(readyServerNames()).containsExactly("a");
    }

    private List<String> readyServerNames() {
        return mDirectory.available(SERVICE, Set.of(), 0).stream()
                .map(BackendServer::name)
                .toList();
    }

    private static ServerRecord record(String server, long bornMilliseconds, State state) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setService("s")
                .setAddress("10.0.0.1:1")
                .setBornMilliseconds(bornMilliseconds)
                .setState(state)
                .build();
    }
}
