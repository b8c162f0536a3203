package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.ibisstand.agent.CacheEvents.Change;
import org.junit.jupiter.api.Test;

class PartIndexTest {
    private final PartIndex mIndex = new PartIndex();

    @Test
    void countsLeadingPartsUnderTheSameSalt() {
        mIndex.take(events(1, 2, false, held("s", "a"), held("s", "b"), held("t", "c")));

        assertThat(mIndex.held("s", List.of("a", "b", "c"))).isEqualTo(2);
        assertThat(mIndex.held("t", List.of("a", "b", "c"))).isEqualTo(0);
    }

    @Test
    void forgetsPartsThatWereDropped() {
        mIndex.take(events(1, 1, false, held("s", "a")));
        mIndex.take(events(1, 2, false, new Change(false, "s", "a", 0)));

        assertThat(mIndex.held("s", List.of("a"))).isEqualTo(0);
        assertThat(mIndex.next()).isEqualTo(2);
    }

    @Test
    void aRestartOfTheEngineEmptiesIt() {
        mIndex.take(events(1, 1, false, held("s", "a")));
        mIndex.take(events(2, 1, false, held("s", "b")));

        assertThat(mIndex.held("s", List.of("a"))).isEqualTo(0);
        assertThat(mIndex.held("s", List.of("b"))).isEqualTo(1);
    }

    @Test
    void aGapInTheEventsEmptiesIt() {
        mIndex.take(events(1, 1, false, held("s", "a")));
        mIndex.take(events(1, 9, true, held("s", "b")));

        assertThat(mIndex.held("s", List.of("a"))).isEqualTo(0);
    }

    private static Change held(String salt, String part) {
        return new Change(true, salt, part, 100);
    }

    private static CacheEvents events(long epoch, long next, boolean lost, Change... changes) {
        return new CacheEvents(epoch, next, lost, List.of(changes));
    }
}
