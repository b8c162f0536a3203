package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.BeforeTry;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.PrefixChain;

class CacheIndexProperties {
    private static final int HASHES = 40;
    private static final int EVENTS = 300;

    private ManualClock mClock;
    private CacheIndex mIndex;
    private Set<Long> mEngine;

    @BeforeTry
    void startEmpty() {
        mClock = ManualClock.at(Instant.EPOCH);
        mIndex = CacheIndex.create(mClock);
        mEngine = new HashSet<>();
    }

    private static PrefixChain single(long hash) {
        return PrefixChain.ofHashes(new long[] {hash}, 1, 1);
    }

    private boolean believed(long hash) {
        return mIndex.heldPieces(single(hash)) == 1;
    }

    /** Changes the naive model; the event reaches the index unless it is lost. */
    private void event(long sequence, Random random, boolean lost) {
        long hash = random.nextInt(HASHES);
        boolean store = random.nextBoolean();
        if (store) {
            mEngine.add(hash);
        } else {
            mEngine.remove(hash);
        }
        if (!lost && store) {
            mIndex.stored(sequence, hash);
        } else if (!lost) {
            mIndex.removed(sequence, hash);
        }
        mClock.advance(Duration.ofMillis(random.nextInt(100)));
    }

    @Property(seed = "1", tries = 100)
    void agreesWithASetWhileNoEventIsLost(@ForAll long seed) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            event(sequence, random, false);
        }
        for (long hash = 0; hash < HASHES; hash++) {
            assertThat(believed(hash)).isEqualTo(mEngine.contains(hash));
        }
        assertThat(mIndex.size()).isEqualTo(mEngine.size());
    }

    @Property(seed = "1", tries = 100)
    void believesNothingWrongOnceTheDoubtAfterTheLastGapHasEnded(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int lossPercent) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            event(sequence, random, random.nextInt(100) < lossPercent);
        }
        event(EVENTS, random, false);
        mClock.advance(CacheIndex.DOUBT.multipliedBy(2).plusMillis(100));
        for (long hash = 0; hash < HASHES; hash++) {
            assertThat(believed(hash) && !mEngine.contains(hash)).isFalse();
        }
    }

    /** An engine that evicts by last use, followed with losses and corrected by its answers. */
    @Property(seed = "1", tries = 50)
    void predictsMostHitsOfAnEngineThatEvictsByLastUseDespiteLosses(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 20) int lossPercent) {
        Random random = new Random(seed);
        LinkedHashSet<Long> engine = new LinkedHashSet<>();
        long sequence = 0;
        int wrong = 0;
        for (int use = 0; use < EVENTS; use++) {
            long hash = random.nextInt(HASHES);
            CacheIndex.Belief belief = mIndex.believe(single(hash));
            boolean cached = engine.remove(hash);
            wrong += belief.pieces() == 1 && !cached ? 1 : 0;
            engine.add(hash);
            sequence++;
            if (!cached && random.nextInt(100) >= lossPercent) {
                mIndex.stored(sequence, hash);
            }
            if (engine.size() > HASHES / 2) {
                long evicted = engine.removeFirst();
                sequence++;
                if (random.nextInt(100) >= lossPercent) {
                    mIndex.removed(sequence, evicted);
                }
            }
            mClock.advance(Duration.ofMillis(20));
            mIndex.promptComputed(single(hash));
            mIndex.answered(belief, cached ? 1 : 0);
        }
        assertThat(wrong).isAtMost(EVENTS * lossPercent / 100);
    }

    @Property(seed = "1", tries = 100)
    void takesRepeatedStoresOnlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            event(sequence, random, false);
            mIndex.stored(random.nextInt(sequence + 1), HASHES + 1L);
        }
        assertThat(believed(HASHES + 1L)).isFalse();
    }

    @Property(seed = "1", tries = 100)
    void mapAgreesWithANaiveMap(@ForAll List<@IntRange(min = 0, max = 200) Integer> keys) {
        LongStampMap map = new LongStampMap();
        Set<Integer> naive = new HashSet<>();
        for (int key : keys) {
            if (naive.remove(key)) {
                map.remove(key);
            } else {
                naive.add(key);
                map.put(key, key + 1);
            }
        }
        for (int key = 0; key <= 200; key++) {
            assertThat(map.get(key)).isEqualTo(naive.contains(key) ? key + 1 : -1);
        }
        assertThat(map.size()).isEqualTo(naive.size());
    }

    @Property(seed = "1", tries = 100)
    void mapDropsItsLowestStamps(
            @ForAll List<@IntRange(min = 0, max = 9) Integer> stamps,
            @ForAll @IntRange(min = 1, max = 30) int count) {
        LongStampMap map = new LongStampMap();
        for (int key = 0; key < stamps.size(); key++) {
            map.put(key, stamps.get(key));
        }
        map.removeOldest(count);
        List<Integer> kept = new ArrayList<>();
        for (int key = 0; key < stamps.size(); key++) {
            if (map.get(key) >= 0) {
                kept.add(map.get(key));
            }
        }
        List<Integer> expected =
                stamps.stream().sorted().skip(Math.min(count, stamps.size())).toList();
        assertThat(kept.stream().sorted().toList()).isEqualTo(expected);
    }
}
