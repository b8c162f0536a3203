package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.ibisstand.base.AgentIdentifier;
import org.ibisstand.base.BootIdentifier;
import org.ibisstand.base.ManualClock;
import org.ibisstand.routing.CacheIndex;
import org.ibisstand.routing.QueuePolicy;
import org.ibisstand.routing.RequestProfile;
import org.ibisstand.routing.WorkQueue;
import org.ibisstand.wire.OutboundStream;
import org.ibisstand.wire.message.EngineOrder;
import org.ibisstand.wire.message.EngineOrderReply;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Submit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A prompt whose salt names one weights version must not run under another one. */
class FormerWeightsTest {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final Duration LONG_WAIT = Duration.ofHours(1);

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mControlThread = new DefaultEventLoop();
    private final BootIdentifier mBoot = new BootIdentifier(7);
    private final LoadedWeights mWeights = new LoadedWeights(Map.of("m", "1", "other", "1"));
    private final List<Submit> mDispatched = new ArrayList<>();
    private final List<BackendListener> mListeners = new ArrayList<>();
    private final List<Frame> mSent = Collections.synchronizedList(new ArrayList<>());
    private final List<CompletableFuture<Boolean>> mLoads = new ArrayList<>();
    private final List<String> mAnnounced = new ArrayList<>();
    private final RequestExecutor mExecutor = createExecutor();
    private Duration mMaximumWait = LONG_WAIT;
    private final FencedOrderExecutor mOrders =
            new FencedOrderExecutor(
                    mBoot,
                    mControlThread,
                    (model, version, number) -> {
                        mLoads.add(new CompletableFuture<>());
                        return mLoads.getLast();
                    },
                    mWeights,
                    model -> mExecutor.drain(model, mMaximumWait),
                    (model, version) -> mAnnounced.add(model + "=" + version));

    private RequestExecutor createExecutor() {
        return new RequestExecutor(
                new AgentIdentifier("agent-1"),
                mBoot,
                mClock,
                mControlThread,
                WorkQueue.create(
                        QueuePolicy.PriorityFairQueueing.forService(1),
                        CacheIndex.create(mClock),
                        mClock),
                this::start,
                BackendHealth.create(mEventLoops, "http://127.0.0.1:1", mControlThread),
                mWeights,
                (attempt, outcome) -> new CompletableFuture<>(),
                new ExecutionLimits(1024, BUFFER_BYTES, Duration.ZERO, LONG_WAIT),
                new ExecutionMetrics(new MetricRegistry()));
    }

    private BackendCall start(Submit submit, Duration timeout, BackendListener listener) {
        mDispatched.add(submit);
        mListeners.add(listener);
        return new BackendCall() {
            @Override
            public void cancel() {}

            @Override
            public void resumeReading() {}
        };
    }

    @AfterEach
    void stopThreads() {
        mControlThread.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void runOnControlThread(Runnable action) {
        mControlThread.submit(action).syncUninterruptibly();
    }

    private void submit(String model, String version) {
        RequestProfile profile =
                RequestProfile.plain("buyers", 0, mClock.instant().plusSeconds(3600));
        OutboundStream stream =
                OutboundStream.attachedTo(
                        1, BUFFER_BYTES, (to, frame) -> mSent.add(frame.build()), 1);
        Submit submit =
                Submit.newBuilder()
                        .setTeam("buyers")
                        .setModel(model)
                        .setWeightsVersion(version)
                        .build();
        runOnControlThread(() -> mExecutor.submit(submit, profile, stream));
    }

    private void respond(int index) {
        mListeners.get(index).onHead(200, List.of());
        mListeners.get(index).onData(new byte[] {1});
        mListeners.get(index).onComplete();
        runOnControlThread(() -> {});
    }

    private CompletableFuture<EngineOrderReply> order(long number, String version) {
        EngineOrder order =
                EngineOrder.newBuilder()
                        .setBoot(mBoot.value())
                        .setFencingNumber(number)
                        .setModel("m")
                        .setWeightsVersion(version)
                        .build();
        return mControlThread.submit(() -> mOrders.execute(order)).syncUninterruptibly().getNow();
    }

    private void endLoad(int index, boolean loaded) {
        mLoads.get(index).complete(loaded);
        runOnControlThread(() -> {});
    }

    private void assertNotRun(int count) {
        assertThat(mSent).hasSize(count);
        for (Frame frame : mSent) {
            assertThat(frame.getFailure().getMayHaveRun()).isFalse();
            assertThat(frame.getFailure().getCode()).isEqualTo("NO_AGENT_AVAILABLE");
        }
    }

    @Test
    void aPromptOfFormerWeightsWasSentToTheEngineAfterALoad() {
        order(1, "2");
        endLoad(0, true);
        submit("m", "1");
        assertThat(mDispatched).isEmpty();
        assertNotRun(1);
        submit("m", "2");
        assertThat(mDispatched).hasSize(1);
        assertThat(mAnnounced).containsExactly("m=2");
    }

    @Test
    void aPromptThatWaitedWasSentToTheEngineAfterALoadOrder() {
        submit("m", "1");
        submit("m", "1");
        order(1, "2");
        assertNotRun(1);
        respond(0);
        endLoad(0, true);
        assertThat(mDispatched).hasSize(1);
    }

    @Test
    void aLoadWasOrderedWhileAPromptOfFormerWeightsRan() {
        submit("m", "1");
        order(1, "2");
        assertThat(mLoads).isEmpty();
        respond(0);
        assertThat(mLoads).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1", "2"})
    void aPromptWasSentToTheEngineWhileItLoaded(String version) {
        order(1, "2");
        assertThat(mLoads).hasSize(1);
        submit("m", version);
        assertThat(mDispatched).isEmpty();
        assertNotRun(1);
    }

    @Test
    void aLoadWaitedForRunsOfAnotherModel() {
        submit("other", "1");
        order(1, "2");
        assertThat(mLoads).hasSize(1);
        respond(0);
        submit("other", "1");
        assertThat(mDispatched).hasSize(2);
    }

    @Test
    void anOrderWaitedWithoutEndForARun() {
        mMaximumWait = Duration.ZERO;
        submit("m", "1");
        CompletableFuture<EngineOrderReply> reply = order(1, "2");
        assertThat(mLoads).isEmpty();
        assertThat(reply.join().getAccepted()).isFalse();
        respond(0);
        assertThat(mLoads).isEmpty();
        submit("m", "1");
        assertThat(mDispatched).hasSize(2);
    }

    @Test
    void anOlderOrderThatHadWaitedWasSentToTheEngine() {
        submit("m", "1");
        CompletableFuture<EngineOrderReply> older = order(1, "2");
        order(2, "3");
        respond(0);
        assertThat(mLoads).hasSize(1);
        assertThat(older.join().getCode()).isEqualTo("FENCED");
        endLoad(0, true);
        assertThat(mAnnounced).containsExactly("m=3");
    }

    @Test
    void aRefusedLoadLeftTheModelWithoutPrompts() {
        order(1, "2");
        endLoad(0, false);
        submit("m", "1");
        assertThat(mDispatched).hasSize(1);
        assertThat(mAnnounced).isEmpty();
    }

    @Test
    void aPromptWasSentToAnEngineOfUnknownWeights() {
        order(1, "2");
        mLoads.getFirst().completeExceptionally(new IllegalStateException("connection closed"));
        runOnControlThread(() -> {});
        submit("m", "1");
        submit("m", "2");
        assertThat(mDispatched).isEmpty();
        assertNotRun(2);
        assertThat(mAnnounced).containsExactly("m=");
        order(2, "1");
        endLoad(1, true);
        submit("m", "1");
        assertThat(mDispatched).hasSize(1);
    }
}
