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
    private Set<Long> mEngineCache;

    @BeforeTry
    void startEmpty() {
        mClock = ManualClock.at(Instant.EPOCH);
        mIndex = CacheIndex.create(mClock);
        mEngineCache = new HashSet<>();
    }

    private static PrefixChain single(long hash) {
        return PrefixChain.ofHashes(new long[] {hash}, 1, 1);
    }

    private boolean isHeld(long hash) {
        return mIndex.heldPieces(single(hash)) == 1;
    }

    /** Stores or evicts a random piece; the index gets the event unless it is lost. */
    private void applyRandomEvent(long sequence, Random random, boolean isLost) {
        long hash = random.nextInt(HASHES);
        boolean isStore = random.nextBoolean();
        if (isStore) {
            mEngineCache.add(hash);
        } else {
            mEngineCache.remove(hash);
        }
        if (!isLost && isStore) {
            mIndex.stored(sequence, hash);
        } else if (!isLost) {
            mIndex.removed(sequence, hash);
        }
        mClock.advance(Duration.ofMillis(random.nextInt(100)));
    }

    @Property(seed = "1", tries = 100)
    void matchesEngineCacheIfNoEventIsLost(@ForAll long seed) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            applyRandomEvent(sequence, random, false);
        }
        for (long hash = 0; hash < HASHES; hash++) {
            assertThat(isHeld(hash)).isEqualTo(mEngineCache.contains(hash));
        }
        assertThat(mIndex.size()).isEqualTo(mEngineCache.size());
    }

    @Property(seed = "1", tries = 100)
    void holdsNoStaleEntryAfterSuspectPeriodOfLastGap(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int lossPercent) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            applyRandomEvent(sequence, random, random.nextInt(100) < lossPercent);
        }
        applyRandomEvent(EVENTS, random, false);
        mClock.advance(CacheIndex.SUSPECT_LIFETIME.multipliedBy(2).plusMillis(100));
        for (long hash = 0; hash < HASHES; hash++) {
            assertThat(isHeld(hash) && !mEngineCache.contains(hash)).isFalse();
        }
    }

    /** The index of an LRU cache loses events and is corrected by the reported cache hits. */
    @Property(seed = "1", tries = 50)
    void predictsHitsOfLruEngineDespiteLostEvents(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 20) int lossPercent) {
        Random random = new Random(seed);
        LinkedHashSet<Long> engineCache = new LinkedHashSet<>();
        long sequence = 0;
        int falseHits = 0;
        for (int use = 0; use < EVENTS; use++) {
            long hash = random.nextInt(HASHES);
            CacheIndex.Prediction prediction = mIndex.predict(single(hash));
            boolean isCached = engineCache.remove(hash);
            falseHits += prediction.pieces() == 1 && !isCached ? 1 : 0;
            engineCache.add(hash);
            sequence++;
            if (!isCached && random.nextInt(100) >= lossPercent) {
                mIndex.stored(sequence, hash);
            }
            if (engineCache.size() > HASHES / 2) {
                long evicted = engineCache.removeFirst();
                sequence++;
                if (random.nextInt(100) >= lossPercent) {
                    mIndex.removed(sequence, evicted);
                }
            }
            mClock.advance(Duration.ofMillis(20));
            mIndex.promptComputed(single(hash));
            mIndex.correct(prediction, isCached ? 1 : 0);
        }
        assertThat(falseHits).isAtMost(EVENTS * lossPercent / 100);
    }

    @Property(seed = "1", tries = 100)
    void ignoresRepeatedStoreEvents(@ForAll long seed) {
        Random random = new Random(seed);
        for (int sequence = 0; sequence < EVENTS; sequence++) {
            applyRandomEvent(sequence, random, false);
            mIndex.stored(random.nextInt(sequence + 1), HASHES + 1L);
        }
        assertThat(isHeld(HASHES + 1L)).isFalse();
    }

    @Property(seed = "1", tries = 100)
    void mapMatchesReferenceMap(@ForAll List<@IntRange(min = 0, max = 200) Integer> keys) {
        LongIntMap map = new LongIntMap();
        Set<Integer> present = new HashSet<>();
        for (int key : keys) {
            if (present.remove(key)) {
                map.remove(key);
            } else {
                present.add(key);
                map.put(key, key + 1);
            }
        }
        for (int key = 0; key <= 200; key++) {
            assertThat(map.get(key)).isEqualTo(present.contains(key) ? key + 1 : -1);
        }
        assertThat(map.size()).isEqualTo(present.size());
    }

    @Property(seed = "1", tries = 100)
    void mapRemovesLowestStamps(
            @ForAll List<@IntRange(min = 0, max = 9) Integer> stamps,
            @ForAll @IntRange(min = 1, max = 30) int count) {
        LongIntMap map = new LongIntMap();
        for (int key = 0; key < stamps.size(); key++) {
            map.put(key, stamps.get(key));
        }
        map.removeLowest(count);
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
