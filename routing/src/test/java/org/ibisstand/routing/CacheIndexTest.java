package org.ibisstand.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.stream.LongStream;
import org.ibisstand.base.ManualClock;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CacheIndexTest {
    private static final PrefixChain CHAIN = PrefixChain.ofHashes(new long[] {1, 2, 3}, 10, 35);

    private final ManualClock mClock = ManualClock.at(Instant.EPOCH);
    private final CacheIndex mIndex = CacheIndex.create(mClock);

    @Test
    void countsOnlyContiguousLeadingPieces() {
        mIndex.stored(1, 1, 3);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(1);
        mIndex.stored(2, 2);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
    }

    @Test
    void clearsIndexWhenEngineRestarts() {
        mIndex.stored(7, 1, 2, 3);
        mIndex.engineRestarted();
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(0);
        mIndex.stored(0, 1);
        assertThat(mIndex.gaps()).isEqualTo(0);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(1);
    }

    @Test
    void snapshotReplacesSuspectEntries() {
        mIndex.stored(1, 1, 2);
        mIndex.stored(9, 4);
        mIndex.replaceWithSnapshot(9, 1, 2, 3);
        mClock.advance(CacheIndex.SUSPECT_LIFETIME.multipliedBy(2));
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
    }

    @ParameterizedTest
    @CsvSource({"0,0", "1,0", "2,1", "3,1"})
    void dropsEntriesUsedBeforeAPieceReportedMissing(int cachedPieces, int expectedOlderPieces) {
        PrefixChain older = PrefixChain.ofHashes(new long[] {9}, 10, 10);
        mIndex.stored(1, cachedPieces < 2 ? 9 : 8);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.stored(2, 1, 2, 3);
        CacheIndex.Prediction prediction = mIndex.predict(CHAIN);
        mIndex.stored(3, cachedPieces < 2 ? 8 : 9);
        mIndex.correct(prediction, cachedPieces);
        assertThat(mIndex.heldPieces(older)).isEqualTo(expectedOlderPieces);
    }

    @Test
    void dropsOneOldestEntryPerLostEvent() {
        for (long sequence = 1; sequence <= 5; sequence++) {
            mIndex.stored(sequence, sequence + 100);
            mClock.advance(Duration.ofSeconds(1));
        }
        mIndex.stored(8, 1);
        assertThat(mIndex.heldPieces(PrefixChain.ofHashes(new long[] {102}, 1, 1))).isEqualTo(0);
        assertThat(mIndex.heldPieces(PrefixChain.ofHashes(new long[] {103}, 1, 1))).isEqualTo(1);
        assertThat(mIndex.size()).isEqualTo(4);
    }

    @Test
    void keepsSuspectEntriesThatAreUsedAgain() {
        mIndex.stored(1, 4, 5, 6, 7);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.stored(2, 1, 2, 3);
        mIndex.stored(4, 8);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.promptComputed(CHAIN);
        mClock.advance(CacheIndex.SUSPECT_LIFETIME);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
        assertThat(mIndex.size()).isEqualTo(3);
    }

    @Test
    void usesAtMostThirtyTwoBytesPerPiece() {
        mIndex.stored(
                1, LongStream.range(0, 95_000).map(hash -> hash * 0x9E3779B97F4A7C15L).toArray());
        assertThat(mIndex.memoryBytes() / mIndex.size()).isAtMost(32);
    }
}
