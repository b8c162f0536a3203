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
    void countsOnlyPiecesWithoutABreakFromTheStart() {
        mIndex.stored(1, 1, 3);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(1);
        mIndex.stored(2, 2);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
    }

    @Test
    void forgetsEverythingWhenTheEngineBootsAgain() {
        mIndex.stored(7, 1, 2, 3);
        mIndex.booted();
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(0);
        mIndex.stored(0, 1);
        assertThat(mIndex.gaps()).isEqualTo(0);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(1);
    }

    @Test
    void takesASnapshotInPlaceOfWhatItDoubted() {
        mIndex.stored(1, 1, 2);
        mIndex.stored(9, 4);
        mIndex.rebuild(9, 1, 2, 3);
        mClock.advance(CacheIndex.DOUBT.multipliedBy(2));
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
    }

    @ParameterizedTest
    @CsvSource({"2,0", "3,3"})
    void doubtsOlderEntriesAfterAnAnswerWithFewerCachedPieces(int cached, int heldLater) {
        mIndex.stored(1, 1, 2, 3);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.answered(cached, 3);
        mClock.advance(CacheIndex.DOUBT);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(heldLater);
    }

    @Test
    void keepsWhatAnAnswerConfirmsDuringTheDoubt() {
        mIndex.stored(1, 1, 2, 3, 4);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.stored(5, 5);
        mClock.advance(Duration.ofSeconds(1));
        mIndex.computed(CHAIN);
        mClock.advance(CacheIndex.DOUBT);
        assertThat(mIndex.heldPieces(CHAIN)).isEqualTo(3);
        assertThat(mIndex.size()).isEqualTo(4);
    }

    @Test
    void needsAtMostThirtyTwoBytesAPiece() {
        mIndex.stored(
                1, LongStream.range(0, 95_000).map(hash -> hash * 0x9E3779B97F4A7C15L).toArray());
        assertThat(mIndex.memoryBytes() / mIndex.size()).isAtMost(32);
    }
}
