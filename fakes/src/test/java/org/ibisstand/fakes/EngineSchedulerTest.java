package org.ibisstand.fakes;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineSchedulerTest {
    private static final FakeEngineOptions OPTIONS =
            FakeEngineOptions.serving("m", "1").withSpeed(1, 1e9, 0, 0);

    @ParameterizedTest
    @CsvSource({"5 2 1,5 1 2", "0 0 0,0 0 0", "1 3 2,1 2 3"})
    void runsTheLowerPriorityNumberFirst(String arrivals, String order) throws Exception {
        List<String> finished = new ArrayList<>();
        String[] priorities = arrivals.split(" ");
        CountDownLatch done = new CountDownLatch(priorities.length);
        EventExecutor executor = new DefaultEventExecutor();
        EngineScheduler scheduler =
                new EngineScheduler(executor, OPTIONS, new EngineCache(9), ignoring());

        executor.submit(
                () ->
                        Arrays.stream(priorities)
                                .forEach(one -> scheduler.submit(job(one, finished, done))));

        done.await();
        executor.shutdownGracefully();
        assertThat(String.join(" ", finished)).isEqualTo(order);
    }

    private static EngineJob job(String priority, List<String> finished, CountDownLatch done) {
        PrefixChain chain = PrefixChain.ofHashes(new long[0], 1, 1);
        return new EngineJob(
                chain,
                Integer.parseInt(priority),
                List.of("token"),
                new EngineJob.Listener() {
                    @Override
                    public void token(String token, int heldPieces) {}

                    @Override
                    public void complete(int heldPieces) {
                        finished.add(priority);
                        done.countDown();
                    }
                });
    }

    private static EngineScheduler.Observer ignoring() {
        return new EngineScheduler.Observer() {
            @Override
            public void changed(EngineCache.Change change) {}

            @Override
            public void crash() {}
        };
    }
}
