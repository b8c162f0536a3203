package org.ibisstand.agent;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.asynchttpclient.AsyncHandler.State;
import org.asynchttpclient.netty.EagerResponseBodyPart;
import org.junit.jupiter.api.Test;

/** Guards against an agent that keeps the lines of an engine until it runs out of memory. */
class LineReaderTest {
    private static final int MEGABYTE = 1 << 20;

    private final List<String> mLines = new ArrayList<>();
    private final List<Runnable> mHandled = new ArrayList<>();
    private final LineReader mReader =
            new LineReader(
                    (line, handled) -> {
                        mLines.add(line);
                        mHandled.add(handled);
                    },
                    () -> {});

    @Test
    void linesArePassedOnWhole() {
        receive("fir");
        receive("st\nsecond\nthi");

        assertThat(mLines).containsExactly("first", "second").inOrder();
    }

    @Test
    void aLineWithoutEndEndsTheResponse() {
        State state = State.CONTINUE;
        int parts = 0;
        while (state == State.CONTINUE && parts < 100) {
            state = receive("x".repeat(MEGABYTE));
            parts++;
        }

        assertThat(state).isEqualTo(State.ABORT);
        assertThat(parts).isAtMost(4);
    }

    @Test
    void linesThatComeFasterThanTheyAreHandledEndTheResponse() {
        String line = "x".repeat(MEGABYTE) + "\n";
        while ((long) mLines.size() * MEGABYTE <= LineReader.MAXIMUM_WAITING_BYTES - MEGABYTE) {
            assertThat(receive(line)).isEqualTo(State.CONTINUE);
        }

        assertThat(receive(line)).isEqualTo(State.ABORT);
    }

    @Test
    void linesThatAreHandledInTimeNeverEndTheResponse() {
        for (int line = 0; line < 50; line++) {
            assertThat(receive("x".repeat(MEGABYTE) + "\n")).isEqualTo(State.CONTINUE);
            mHandled.removeFirst().run();
        }
    }

    private State receive(String text) {
        return mReader.onBodyPartReceived(
                new EagerResponseBodyPart(
                        Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.US_ASCII)), false));
    }
}
