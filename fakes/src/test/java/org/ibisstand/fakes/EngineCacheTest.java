package org.ibisstand.fakes;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.ibisstand.base.PrefixChain;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EngineCacheTest {
    @ParameterizedTest
    @CsvSource({"4,3,3,2", "5,3,3,3", "2,3,2,0", "3,3,3,1"})
    void evictsTheEndsOfOldPromptsFirst(
            int capacity, int length, int heldOfFirst, int heldAfterSecond) {
        EngineCache cache = new EngineCache(capacity);
        PrefixChain first = chain(0, length);
        PrefixChain second = chain(100, 2);

        cache.store(first);
        assertThat(cache.held(first)).isEqualTo(heldOfFirst);
        EngineCache.Change change = cache.store(second);

        assertThat(cache.held(second)).isEqualTo(2);
        assertThat(cache.held(first)).isEqualTo(heldAfterSecond);
        assertThat(change.stored()).isEqualTo(List.of(100L, 101L));
        assertThat(change.removed()).hasSize(heldOfFirst - heldAfterSecond);
    }

    private static PrefixChain chain(long from, int length) {
        long[] hashes = new long[length];
        for (int piece = 0; piece < length; piece++) {
            hashes[piece] = from + piece;
        }
        return PrefixChain.ofHashes(hashes, 1, length);
    }
}
