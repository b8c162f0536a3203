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
import org.ibisstand.wire.message.AttemptIdentifier;
import org.ibisstand.wire.message.Frame;
import org.ibisstand.wire.message.Submit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestExecutorTest {
    private static final int BUFFER_BYTES = 1 << 16;

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop mControlThread = new DefaultEventLoop();
    private final BootIdentifier mBoot = new BootIdentifier(7);
    private final List<Submit> mDispatched = new ArrayList<>();
    private final List<BackendListener> mListeners = new ArrayList<>();
    private final List<Frame> mSent = Collections.synchronizedList(new ArrayList<>());
    private final CompletableFuture<Void> mRecorded = new CompletableFuture<>();
    private final RequestExecutor mExecutor = createExecutor();

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
                new LoadedWeights(Map.of()),
                (attempt, outcome) -> mRecorded,
                new ExecutionLimits(1024, BUFFER_BYTES, Duration.ZERO, Duration.ofHours(1)),
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

    private void submit(Submit.Builder submit) {
        RequestProfile profile =
                RequestProfile.plain(submit.getTeam(), 0, mClock.instant().plusSeconds(3600));
        OutboundStream stream =
                OutboundStream.attachedTo(
                        1, BUFFER_BYTES, (to, frame) -> mSent.add(frame.build()), 1);
        runOnControlThread(() -> mExecutor.submit(submit.build(), profile, stream));
    }

    private void respond(int index) {
        mListeners.get(index).onHead(200, List.of());
        mListeners.get(index).onData(new byte[] {1});
        mListeners.get(index).onComplete();
        runOnControlThread(() -> {});
    }

    private Submit.Builder claimedRequest() {
        return Submit.newBuilder()
                .setTeam("buyers")
                .setBoot(mBoot.value())
                .setAttempt(AttemptIdentifier.newBuilder().setClaim(1).setEpoch(1));
    }

    @Test
    void servesTeamsInProportionToTheirWeights() {
        for (int round = 0; round < 12; round++) {
            submit(Submit.newBuilder().setTeam("large").setTeamWeight(3));
            submit(Submit.newBuilder().setTeam("small").setTeamWeight(1));
        }
        for (int index = 0; index < 12; index++) {
            mClock.advance(Duration.ofMillis(1));
            respond(index);
        }
        long large =
                mDispatched.subList(0, 12).stream()
                        .filter(submit -> submit.getTeam().equals("large"))
                        .count();
        assertThat(large).isAtLeast(8);
        assertThat(large).isAtMost(10);
    }

    @Test
    void respondsToAClaimedRequestOnlyAfterItsOutcomeIsRecorded() {
        submit(claimedRequest());
        respond(0);
        assertThat(mSent).isEmpty();
        mRecorded.complete(null);
        runOnControlThread(() -> {});
        runOnControlThread(() -> {});
        assertThat(mSent.getLast().hasEnd()).isTrue();
    }

    @Test
    void runsAnAttemptOnceWhenItIsSubmittedTwice() {
        submit(claimedRequest());
        submit(claimedRequest());
        assertThat(mDispatched).hasSize(1);
    }

    @Test
    void neverRunsAnAttemptOfAnotherBoot() {
        submit(claimedRequest().setBoot(mBoot.value() + 1));
        assertThat(mDispatched).isEmpty();
        assertThat(mSent.getFirst().getFailure().getMayHaveRun()).isTrue();
    }

    @Test
    void neverRunsAnAttemptTombstonedBeforeItsSubmission() {
        runOnControlThread(() -> mExecutor.tombstone(new AttemptKey(1, 1)));
        submit(claimedRequest());
        assertThat(mDispatched).isEmpty();
        assertThat(mSent.getFirst().getFailure().getMayHaveRun()).isFalse();
    }

    @Test
    void rejectsNewRequestsWhileDrainingAndFinishesAcceptedOnes() {
        submit(Submit.newBuilder().setTeam("buyers"));
        runOnControlThread(mExecutor::startDraining);
        submit(Submit.newBuilder().setTeam("buyers"));
        assertThat(mSent.getFirst().getFailure().getCode()).isEqualTo("AGENT_LEAVING");
        assertThat(mDispatched).hasSize(1);
        respond(0);
        assertThat(mSent.getLast().hasEnd()).isTrue();
    }
}
