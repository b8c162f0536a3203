package org.ibisstand.base;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

class BoundedOutputTest {
    @Test
    void writesLinesInOrder() {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        BoundedOutput output = BoundedOutput.start(target, 100, line -> false);

        write(output, "one\n");
        write(output, "two\n");
        output.close();

        assertThat(target.toString(StandardCharsets.UTF_8)).isEqualTo("one\ntwo\n");
        assertThat(output.dropped()).isEqualTo(0);
    }

    @Test
    void aTargetThatNobodyReadsStopsNothing() {
        CountDownLatch never = new CountDownLatch(1);
        BoundedOutput output = BoundedOutput.start(new Blocked(never), 10, line -> false);

        for (int line = 0; line < 1_000; line++) {
            write(output, "line\n");
        }

        assertThat(output.dropped()).isAtLeast(900);
        never.countDown();
        output.close();
    }

    @Test
    void ordinaryLinesAreDroppedFirst() throws InterruptedException {
        CountDownLatch never = new CountDownLatch(1);
        Blocked target = new Blocked(never);
        BoundedOutput output = BoundedOutput.start(target, 10, line -> line.startsWith("placed"));

        write(output, "first\n");
        target.awaitWriter();
        for (int line = 0; line < 20; line++) {
            write(output, "placed\n");
        }
        long dropped = output.dropped();
        write(output, "refused\n");
        never.countDown();
        output.close();

        assertThat(dropped).isEqualTo(15);
        assertThat(output.dropped()).isEqualTo(dropped);
        assertThat(target.text()).contains("refused\n");
        assertThat(target.text()).contains("log_lines_dropped");
    }

    private static void write(BoundedOutput output, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        output.write(bytes, 0, bytes.length);
    }

    /** Blocks every write until it is released. */
    private static final class Blocked extends OutputStream {
        private final CountDownLatch mEntered = new CountDownLatch(1);
        private final CountDownLatch mReleased;
        private final ByteArrayOutputStream mWritten = new ByteArrayOutputStream();

        Blocked(CountDownLatch released) {
            mReleased = released;
        }

        @Override
        public void write(int next) {
            write(new byte[] {(byte) next}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int length) {
            mEntered.countDown();
            try {
                mReleased.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            mWritten.write(bytes, from, length);
        }

        void awaitWriter() throws InterruptedException {
            mEntered.await();
        }

        String text() {
            return mWritten.toString(StandardCharsets.UTF_8);
        }
    }
}
