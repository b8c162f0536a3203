package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.base.LogLine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LoggingSchedulerTest {
    private final List<String> mLines = new CopyOnWriteArrayList<>();
    private final LoggingScheduler mScheduler =
            new LoggingScheduler("control", (LogLine line) -> mLines.add(line.toString()));

    @AfterEach
    void stop() {
        mScheduler.shutdownNow();
    }

    /** A plain executor ends the repetition without a word. */
    @Test
    void aRepeatedTaskThatFailsIsLoggedAndGoesOn() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch twelveRuns = new CountDownLatch(12);
        mScheduler.scheduleWithFixedDelay(
                () -> {
                    twelveRuns.countDown();
                    if (runs.incrementAndGet() <= 10) {
                        throw new IllegalStateException("broken");
                    }
                },
                0,
                1,
                TimeUnit.MILLISECONDS);

        assertThat(twelveRuns.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(mLines).hasSize(4);
        assertThat(mLines.getFirst()).contains("event=task_failed task=control failures=1");
        assertThat(mLines.getLast()).contains("failures=8");
    }

    @Test
    void aFailedTaskIsLoggedOnceAndTheNextOneRuns() throws Exception {
        CountDownLatch nextRan = new CountDownLatch(1);
        mScheduler.execute(
                () -> {
                    throw new AssertionError("broken");
                });
        mScheduler.execute(nextRan::countDown);

        assertThat(nextRan.await(20, TimeUnit.SECONDS)).isTrue();
        assertThat(mLines).hasSize(1);
        assertThat(mLines.getFirst()).contains("AssertionError: broken");
    }
}
