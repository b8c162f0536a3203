package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.PrefixChain;

class WorkQueueProperties {
    private static final int CONCURRENCY = 5;
    private static final int STEPS = 400;

    private ManualClock mClock;
    private WorkQueue mQueue;
    private Set<Long> mSubmitted;
    private Set<Long> mEnded;
    private List<Long> mRunning;

    @BeforeTry
    void startEmpty() {
        mClock = ManualClock.at(Instant.EPOCH);
        mQueue =
                WorkQueue.create(
                        QueuePolicy.PriorityFairQueueing.forEngine(CONCURRENCY),
                        CacheIndex.create(mClock),
                        mClock);
        mSubmitted = new HashSet<>();
        mEnded = new HashSet<>();
        mRunning = new ArrayList<>();
    }

    private void submit(Random random) {
        long identifier = mSubmitted.size() + 1L;
        int pieces = random.nextInt(12);
        long[] hashes = new long[pieces];
        for (int piece = 0; piece < pieces; piece++) {
            hashes[piece] = random.nextInt(3) * 100L + piece;
        }
        PrefixChain chain = PrefixChain.ofHashes(hashes, 8192, pieces * 8192 + 100);
        Instant deadline = mClock.instant().plusMillis(random.nextInt(20_000));
        RequestProfile profile =
                new RequestProfile("team" + random.nextInt(3), random.nextInt(3), chain, deadline);
        mQueue.submit(new WorkItem(identifier, profile));
        mSubmitted.add(identifier);
    }

    private void poll() {
        for (QueueAction action : mQueue.poll()) {
            assertThat(mSubmitted).contains(action.work());
            assertThat(mEnded).doesNotContain(action.work());
            assertThat(mRunning).doesNotContain(action.work());
            switch (action) {
                case QueueAction.Dispatch dispatch -> mRunning.add(dispatch.work());
                case QueueAction.Refuse refusal -> mEnded.add(refusal.work());
            }
        }
        assertThat(mRunning.size()).isAtMost(CONCURRENCY);
        assertThat(mQueue.running()).isEqualTo(mRunning.size());
    }

    private void finishRandomWork(Random random) {
        if (!mRunning.isEmpty()) {
            long work = mRunning.remove(random.nextInt(mRunning.size()));
            mQueue.firstTokenReceived(work);
            mQueue.finished(work, OptionalInt.of(random.nextInt(4)));
            mEnded.add(work);
        }
    }

    private void cancelRandomWork(Random random) {
        long work = random.nextInt(mSubmitted.size() + 1);
        if (mQueue.cancel(work)) {
            assertThat(mRunning).doesNotContain(work);
            mEnded.add(work);
        }
    }

    @Property(seed = "1", tries = 100)
    void endsAllWorkExactlyOnceWithinTheConcurrencyLimit(@ForAll long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            switch (random.nextInt(5)) {
                case 0, 1 -> submit(random);
                case 2 -> finishRandomWork(random);
                case 3 -> cancelRandomWork(random);
                default -> mClock.advance(Duration.ofMillis(random.nextInt(300)));
            }
            poll();
        }
        for (int turn = 0; turn <= STEPS; turn++) {
            finishRandomWork(random);
            poll();
        }
        assertThat(mEnded).isEqualTo(mSubmitted);
        assertThat(mQueue.waiting()).isEqualTo(0);
    }

    @Property(seed = "1", tries = 30)
    void shortWorkDoesNotStarveLongWork(@ForAll long seed) {
        Random random = new Random(seed);
        PrefixChain large = PrefixChain.ofHashes(new long[0], 1, 200_000);
        PrefixChain small = PrefixChain.ofHashes(new long[0], 1, 9_000);
        mQueue.submit(
                new WorkItem(
                        1,
                        new RequestProfile("team", 2, large, mClock.instant().plusSeconds(600))));
        for (long work = 2; work < 2000 && !mRunning.contains(1L); work++) {
            Instant deadline = mClock.instant().plusSeconds(60);
            mQueue.submit(new WorkItem(work, new RequestProfile("team", 0, small, deadline)));
            mSubmitted.add(work);
            mSubmitted.add(1L);
            mClock.advance(Duration.ofMillis(100 + random.nextInt(50)));
            poll();
            if (!mRunning.contains(1L)) {
                finishRandomWork(random);
            }
        }
        assertThat(mRunning).contains(1L);
        assertThat(mClock.instant()).isLessThan(Instant.EPOCH.plusSeconds(60));
    }
}
