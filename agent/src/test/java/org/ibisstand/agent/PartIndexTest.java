package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.ibisstand.agent.CacheEvents.Change;
import org.junit.jupiter.api.Test;

class PartIndexTest {
    private final PartIndex mIndex = new PartIndex();

    @Test
    void countsLeadingPartsUnderTheSameSalt() {
        mIndex.apply(events(1, 2, false, cached("s", "a"), cached("s", "b"), cached("t", "c")));

        assertThat(mIndex.cachedParts("s", List.of("a", "b", "c"))).isEqualTo(2);
        assertThat(mIndex.cachedParts("t", List.of("a", "b", "c"))).isEqualTo(0);
    }

    @Test
    void removesEvictedParts() {
        mIndex.apply(events(1, 1, false, cached("s", "a")));
        mIndex.apply(events(1, 2, false, new Change(false, "s", "a", 0)));

        assertThat(mIndex.cachedParts("s", List.of("a"))).isEqualTo(0);
        assertThat(mIndex.nextCursor()).isEqualTo(2);
    }

    @Test
    void engineRestartClearsTheIndex() {
        mIndex.apply(events(1, 1, false, cached("s", "a")));
        mIndex.apply(events(2, 1, false, cached("s", "b")));

        assertThat(mIndex.cachedParts("s", List.of("a"))).isEqualTo(0);
        assertThat(mIndex.cachedParts("s", List.of("b"))).isEqualTo(1);
    }

    @Test
    void gapInTheEventsClearsTheIndex() {
        mIndex.apply(events(1, 1, false, cached("s", "a")));
        mIndex.apply(events(1, 9, true, cached("s", "b")));

        assertThat(mIndex.cachedParts("s", List.of("a"))).isEqualTo(0);
    }

    private static Change cached(String salt, String part) {
        return new Change(true, salt, part, 100);
    }

    private static CacheEvents events(
            long epoch, long nextCursor, boolean hasGap, Change... changes) {
        return new CacheEvents(epoch, nextCursor, hasGap, List.of(changes));
    }
}
