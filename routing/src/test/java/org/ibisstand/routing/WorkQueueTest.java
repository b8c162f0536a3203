package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class WorkQueueTest {
    private static final int LONG_BYTES = 100_000;
    private static final int SHORT_BYTES = 3_000;

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final CacheIndex mIndex = CacheIndex.create(mClock);
    private WorkQueue mQueue = queue(QueuePolicy.PriorityFairQueueing.forEngine(16));

    private WorkQueue queue(QueuePolicy policy) {
        return WorkQueue.create(policy, mIndex, mClock);
    }

    private RequestProfile profile(String team, int rank, int bytes) {
        PrefixChain chain = PrefixChain.ofHashes(new long[0], 1, bytes);
        return new RequestProfile(team, rank, chain, mClock.instant().plusSeconds(60));
    }

    private void submit(long identifier, String team, int rank, int bytes) {
        mQueue.submit(new WorkItem(identifier, profile(team, rank, bytes)));
    }

    private List<Long> pollDispatched() {
        List<Long> identifiers = new ArrayList<>();
        for (QueueAction action : mQueue.poll()) {
            if (action instanceof QueueAction.Dispatch dispatch) {
                identifiers.add(dispatch.work());
            }
        }
        return identifiers;
    }

    private void complete(long identifier) {
        mQueue.firstTokenReceived(identifier);
        mQueue.finished(identifier, OptionalInt.empty());
    }

    @Test
    void dispatchesShortWorkBeforeLongWorkOfTheSameClass() {
        submit(1, "buyers", 0, LONG_BYTES);
        submit(2, "buyers", 0, SHORT_BYTES);
        assertThat(pollDispatched()).containsExactly(2L, 1L).inOrder();
    }

    @Test
    void dispatchesOneLongPromptAtATime() {
        submit(1, "buyers", 0, LONG_BYTES);
        submit(2, "buyers", 0, LONG_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        complete(1);
        assertThat(pollDispatched()).containsExactly(2L);
    }

    @Test
    void dispatchesShortWorkDuringALongPrefill() {
        submit(1, "buyers", 0, LONG_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        submit(2, "growers", 0, SHORT_BYTES);
        QueueAction action = mQueue.poll().getFirst();
        assertThat(action).isEqualTo(new QueueAction.Dispatch(2, 0, 0));
    }

    @ParameterizedTest
    @CsvSource({"1,50", "3,75"})
    void sharesBetweenTeamsByWeight(double weight, int expectedShare) {
        mQueue = queue(QueuePolicy.PriorityFairQueueing.forService(1));
        mQueue.setTeamWeights(Map.of("large", weight));
        int large = 0;
        for (int work = 0; work < 400; work++) {
            submit(work, work % 2 == 0 ? "large" : "small", 0, 0);
        }
        for (int turn = 0; turn < 100; turn++) {
            long work = pollDispatched().getFirst();
            large += work % 2 == 0 ? 1 : 0;
            complete(work);
        }
        assertThat(large).isAtLeast(expectedShare - 1);
        assertThat(large).isAtMost(expectedShare + 1);
    }

    @Test
    void refusesWorkThatWouldMissItsDeadline() {
        RequestProfile profile =
                new RequestProfile(
                        "buyers",
                        0,
                        PrefixChain.ofHashes(new long[0], 1, LONG_BYTES),
                        mClock.instant().plusMillis(10));
        submit(1, "buyers", 0, SHORT_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        mQueue.submit(new WorkItem(2, profile));
        List<QueueAction> actions = mQueue.poll();
        assertThat(actions).hasSize(1);
        assertThat(actions.getFirst()).isInstanceOf(QueueAction.Refuse.class);
        QueueAction.Refuse refusal = (QueueAction.Refuse) actions.getFirst();
        assertThat(refusal.verdict().code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.verdict().retryAfter()).isPresent();
        assertThat(mQueue.poll()).isEmpty();
    }

    @Test
    void dispatchesToAnIdleServerDespiteALowRateEstimate() {
        submit(1, "buyers", 0, SHORT_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        mClock.advance(Duration.ofSeconds(100));
        complete(1);
        assertThat(mQueue.bytesPerMillisecond()).isLessThan(5.0);
        submit(2, "buyers", 0, LONG_BYTES * 10);
        assertThat(pollDispatched()).containsExactly(2L);
    }

    @Test
    void refusesNewWorkWhenLeavingAndDispatchesTheRest() {
        submit(1, "buyers", 0, SHORT_BYTES);
        mQueue.startDraining();
        submit(2, "buyers", 0, SHORT_BYTES);
        List<QueueAction> actions = mQueue.poll();
        assertThat(actions).hasSize(2);
        QueueAction.Refuse refusal = (QueueAction.Refuse) actions.getFirst();
        assertThat(refusal.work()).isEqualTo(2);
        assertThat(refusal.verdict().code()).isEqualTo(ErrorCode.AGENT_LEAVING);
        assertThat(actions.get(1).work()).isEqualTo(1);
    }

    @Test
    void countsPendingPiecesAsHeld() {
        PrefixChain chain = PrefixChain.ofHashes(new long[] {1, 2}, 1000, 2500);
        RequestProfile profile =
                new RequestProfile("buyers", 0, chain, mClock.instant().plusSeconds(60));
        assertThat(mQueue.offer(profile).cachedPieces()).isEqualTo(0);
        mQueue.submit(new WorkItem(1, profile));
        assertThat(mQueue.offer(profile).cachedPieces()).isEqualTo(2);
        assertThat(mQueue.cancel(1)).isTrue();
        assertThat(mQueue.offer(profile).cachedPieces()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void nextPollNeverCausesABusyLoop(boolean refuses) {
        mQueue = queue(QueuePolicy.PriorityFairQueueing.forEngine(1).withEarlyRefusal(refuses));
        submit(1, "buyers", 0, SHORT_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        mQueue.firstTokenReceived(1);
        submit(2, "buyers", 0, SHORT_BYTES);
        assertThat(mQueue.poll()).isEmpty();
        while (mQueue.nextPoll().isPresent()) {
            Instant next = mQueue.nextPoll().orElseThrow();
            assertThat(next).isGreaterThan(mClock.instant());
            mClock.advance(Duration.between(mClock.instant(), next));
            mQueue.poll();
        }
        assertThat(mQueue.waiting()).isEqualTo(refuses ? 0 : 1);
    }

    @Test
    void waitingRaisesThePriorityOfLongWork() {
        submit(1, "buyers", 0, LONG_BYTES);
        assertThat(pollDispatched()).containsExactly(1L);
        submit(2, "buyers", 1, LONG_BYTES);
        mClock.advance(Duration.ofSeconds(13));
        submit(3, "buyers", 0, LONG_BYTES);
        complete(1);
        assertThat(pollDispatched()).containsExactly(2L);
    }
}
