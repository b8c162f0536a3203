package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.ibisstand.settings.RoutedService;
import org.ibisstand.wire.message.ServerRecord;
import org.ibisstand.wire.message.ServerRecord.State;
import org.junit.jupiter.api.Test;

class BackendDirectoryTest {
    private static final RoutedService SERVICE =
            new RoutedService("s", "/health", 70, Optional.empty(), Optional.empty());

    private final BackendDirectory mDirectory = new BackendDirectory();

    @Test
    void allEntriesTogetherStayWithinTheConnectionsOfAServer() {
        mDirectory.shareWith(7);
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer server = mDirectory.ready(SERVICE, Set.of()).getFirst();
        int sent = 0;
        while (!mDirectory.ready(SERVICE, Set.of()).isEmpty()) {
            server.sent(Samples.attempt(server), 0, 0);
            sent++;
        }
        assertThat(sent).isEqualTo(10);
    }

    @Test
    void serversThatLeaveTakeNoRequests() {
        mDirectory.update(List.of(record("a", 1, State.DRAINING), record("b", 1, State.READY)), 0);

        assertThat(names()).containsExactly("b");
    }

    @Test
    void aNewIncarnationStartsAnew() {
        mDirectory.update(List.of(record("a", 1, State.READY)), 0);
        BackendServer former = mDirectory.ready(SERVICE, Set.of()).getFirst();
        former.failed(0);

        mDirectory.update(List.of(record("a", 2, State.READY)), 0);

        BackendServer present = mDirectory.ready(SERVICE, Set.of()).getFirst();
        assertThat(present).isNotSameInstanceAs(former);
        assertThat(present.isPaused(0)).isFalse();
        assertThat(former.takesRequests()).isFalse();
    }

    private List<String> names() {
        return mDirectory.ready(SERVICE, Set.of()).stream().map(BackendServer::name).toList();
    }

    private static ServerRecord record(String server, long born, State state) {
        return ServerRecord.newBuilder()
                .setServer(server)
                .setService("s")
                .setAddress("10.0.0.1:1")
                .setBornMilliseconds(born)
                .setState(state)
                .build();
    }
}
