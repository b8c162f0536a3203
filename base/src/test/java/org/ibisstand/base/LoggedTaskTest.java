package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against periodic work that stops for good at its first unexpected failure. */
class LoggedTaskTest {
    private static final int RUNS = 3;

    @Test
    void aPeriodicTaskGoesOnAfterAFailure() throws Exception {
        CountDownLatch runs = new CountDownLatch(RUNS);
        try (ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor()) {
            executor.scheduleWithFixedDelay(
                    LoggedTask.of(
                            "count",
                            () -> {
                                runs.countDown();
                                throw new IllegalStateException("unexpected");
                            }),
                    0,
                    1,
                    TimeUnit.MILLISECONDS);

            assertThat(runs.await(10, TimeUnit.SECONDS)).isTrue();
            executor.shutdownNow();
        }
    }
}
