package org.ibisstand.fakes;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FakeServiceTest {
    private FakeService mService;
    private TestClient mClient;

    @BeforeEach
    void start() {
        mService = FakeService.start("127.0.0.1", 0);
        mClient = new TestClient("http://127.0.0.1:" + mService.port());
    }

    @AfterEach
    void stop() {
        mService.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/orders", "/payments/5?x=y"})
    void countsEveryExecutionOfAKey(String path) throws Exception {
        String first = mClient.post(path, "{}", "Idempotency-Key", "k1").body();
        String second = mClient.post(path, "{}", "Idempotency-Key", "k1").body();

        assertThat(first).contains("\"executions_of_key\":1");
        assertThat(second).contains("\"executions_of_key\":2");
        assertThat(mService.executionsOf("k1")).isEqualTo(2);
        assertThat(mService.executionsOf("other")).isEqualTo(0);
        assertThat(mClient.get("/executions")).contains("{\"total\":2,\"by_key\":{\"k1\":2}}");
    }

    @Test
    void countsAnExecutionWhoseAnswerIsLost() throws Exception {
        mClient.post("/admin/faults", "{'delay_milliseconds':0,'close_after_execution':true}");

        assertThrows(ExecutionException.class, () -> mClient.post("/orders", "{}"));

        assertThat(mService.executions()).isAtLeast(1);
    }
}
