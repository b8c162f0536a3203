package org.ibisstand.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventSplitterTest {
    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";

    private static final int PIECES = 16_384;

    private final EventSplitter mSplitter = new EventSplitter(100, "X-Weights");

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 5, 7, 11, 100})
    void passesWholeEventsOnHoweverTheyArrive(int pieceBytes) {
        StringBuilder passed = new StringBuilder();
        for (int from = 0; from < STREAM.length(); from += pieceBytes) {
            String text =
                    take(STREAM.substring(from, Math.min(STREAM.length(), from + pieceBytes)));
            assertThat(text.isEmpty() || text.endsWith("\n\n")).isTrue();
            passed.append(text);
        }
        assertThat(passed.toString()).isEqualTo(STREAM);
        assertThat(mSplitter.lastIdentifier()).hasValue("3");
        assertThat(mSplitter.hasPartial()).isFalse();
    }

    @Test
    void holdsBackAnUnfinishedEventAndItsIdentifier() {
        assertThat(take("id: 1\ndata: a\n\nid: 2\nda")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(mSplitter.lastIdentifier()).hasValue("1");
        assertThat(mSplitter.hasPartial()).isTrue();
    }

    @Test
    void goesOnWithAnotherServerAfterAnUnfinishedEvent() {
        take("id: 1\ndata: a\n\nid: 2\nda");
        mSplitter.startsOver();

        assertThat(take("id: 2\ndata: b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
    }

    @Test
    void noticesAnEndlessEvent() {
        take("x".repeat(101));

        assertThat(mSplitter.isOverlong()).isTrue();
    }

    @Test
    void anEndlessEventInSmallPiecesIsNotCopiedAgainForEachPiece() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        ByteBuf piece = Unpooled.copiedBuffer("data", StandardCharsets.UTF_8);
        long before = threads.getCurrentThreadAllocatedBytes();

        for (int count = 0; count < PIECES; count++) {
            mSplitter.take(piece);
        }

        assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(1L << 20);
        assertThat(mSplitter.isOverlong()).isTrue();
    }

    @Test
    void takesLinesThatEndWithBothCharacters() {
        assertThat(take("id: 1\r\ndata: a\r\n\r\n")).isEqualTo("id: 1\r\ndata: a\r\n\r\n");
        assertThat(mSplitter.lastIdentifier()).hasValue("1");
    }

    @Test
    void noticesThatAnEventTellsOfOtherWeights() {
        take("id: 1\ndata: a\n\n");
        assertThat(mSplitter.lastWeights()).isEmpty();

        take("x-weights: 4\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");

        assertThat(mSplitter.lastWeights()).hasValue("4");
        assertThat(mSplitter.lastIdentifier()).hasValue("3");
    }

    private String take(String text) {
        ByteBuf events = mSplitter.take(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return events.toString(StandardCharsets.UTF_8);
    }
}
