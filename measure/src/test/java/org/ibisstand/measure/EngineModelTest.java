package org.ibisstand.measure;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.ibisstand.base.PrefixChain;
import org.ibisstand.routing.CacheIndex;
import org.junit.jupiter.api.Test;

class EngineModelTest {
    private static final int CACHE_PIECES = 4;
    private static final int PIECE_BYTES = 8192;

    private final Simulation mSimulation = new Simulation();
    private final CacheIndex mIndex = CacheIndex.create(mSimulation.clock());
    private final EngineModel mEngine =
            new EngineModel(
                    mSimulation,
                    CACHE_PIECES,
                    new CacheEvents(
                            mSimulation,
                            mIndex,
                            CacheEvents.Faults.none(),
                            new SplittableRandom(1)),
                    new HashSet<>());
    private final List<Long> mFirstTokens = new ArrayList<>();
    private final List<Integer> mCached = new ArrayList<>();

    private static PrefixChain chain(long from, int pieces) {
        long[] hashes = LongStream.range(from, from + pieces).toArray();
        return PrefixChain.ofHashes(hashes, PIECE_BYTES, pieces * PIECE_BYTES + 100);
    }

    private void submit(long identifier, PrefixChain chain, int priority) {
        Backend.Listener listener =
                new Backend.Listener() {
                    @Override
                    public void onFirstToken() {
                        mFirstTokens.add(identifier);
                    }

                    @Override
                    public void onToken() {}

                    @Override
                    public void onFinished(int cachedPieces) {
                        mCached.add(cachedPieces);
                    }
                };
        mEngine.submit(identifier, chain, priority, 1, listener);
    }

    @Test
    void computesUrgentPromptsFirstBetweenChunks() {
        submit(1, chain(100, 4), 1);
        submit(2, chain(200, 1), 1);
        submit(3, chain(300, 1), 0);
        mSimulation.runUntil(10_000);
        assertThat(mFirstTokens).containsExactly(3L, 1L, 2L).inOrder();
    }

    @Test
    void findsWhatItComputedUntilItIsEvicted() {
        submit(1, chain(100, 3), 0);
        mSimulation.runUntil(10_000);
        submit(2, chain(100, 3), 0);
        mSimulation.runUntil(20_000);
        submit(3, chain(200, 4), 0);
        mSimulation.runUntil(30_000);
        submit(4, chain(100, 3), 0);
        mSimulation.runUntil(40_000);
        assertThat(mCached).containsExactly(0, 3, 0, 0).inOrder();
        assertThat(mEngine.recomputedPieces()).isEqualTo(3);
    }

    @Test
    void tellsTheIndexEverythingWhenNoEventIsLost() {
        submit(1, chain(100, 3), 0);
        submit(2, chain(200, 2), 0);
        mSimulation.runUntil(10_000);
        assertThat(mIndex.size()).isEqualTo(CACHE_PIECES);
        assertThat(mIndex.heldPieces(chain(200, 2))).isEqualTo(2);
    }
}
