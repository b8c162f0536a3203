package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class BackendHealthTest {
    private static final int PROBES = 3;
    private static final long TIMEOUT_SECONDS = 10;

    private final CountDownLatch mScheduledProbes = new CountDownLatch(PROBES);
    private final BlockingQueue<Boolean> mChanges = new LinkedBlockingQueue<>();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ScheduledThreadPoolExecutor mControlThread =
            new ScheduledThreadPoolExecutor(1) {
                @Override
                public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
                    mScheduledProbes.countDown();
                    return super.schedule(task, delay, unit);
                }
            };

    @AfterEach
    void stop() {
        mControlThread.shutdownNow();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void detectsRecoveryAfterSeveralFailedProbes() throws IOException, InterruptedException {
        int port = freePort();
        BackendHealth health =
                BackendHealth.create(mGroup, "http://127.0.0.1:" + port, mControlThread);
        health.setChangeListener(() -> mChanges.add(health.isDown()));
        CompletableFuture.runAsync(health::onConnectionRefused, mControlThread).join();
        assertThat(mChanges.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(mScheduledProbes.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        try (ServerSocket server = new ServerSocket()) {
            server.bind(new InetSocketAddress("127.0.0.1", port));
            assertThat(mChanges.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isFalse();
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
