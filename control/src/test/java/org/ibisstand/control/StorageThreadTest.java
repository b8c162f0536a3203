package org.ibisstand.control;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.ibisstand.consensus.Output;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.MemoryDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class StorageThreadTest {
    private final MemoryDisk mDisk = new MemoryDisk();
    private final AtomicBoolean mIsRefusedAsReported = new AtomicBoolean();
    private final BlockingQueue<Long> mPersisted = new LinkedBlockingQueue<>();
    private final StorageThread mThread =
            new StorageThread(
                    LogStore.open(mDisk, 1 << 20, new Random(1)).store(),
                    this::persisted,
                    refusal -> {},
                    failure -> {});

    private void persisted(long sequence) {
        mIsRefusedAsReported.set(mThread.isRefused());
        mPersisted.add(sequence);
    }

    @AfterEach
    void stop() {
        mThread.close();
    }

    /** Such an exception ended the repetition of a refused write, and nothing was written again. */
    @Test
    void anUnexpectedExceptionWhileARefusedWriteIsRepeatedDoesNotEndTheRepetition()
            throws Exception {
        AtomicInteger writes = new AtomicInteger();
        mDisk.setFaultHook(
                operation -> {
                    int number = writes.incrementAndGet();
                    if (number == 1) {
                        throw new IOException("no space left on the disk");
                    }
                    if (number == 2) {
                        throw new IllegalStateException("unexpected");
                    }
                });
        mThread.write(persist(1));

        assertThat(mPersisted.poll(20, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(mThread.isRefused()).isFalse();
    }

    /** A change made as a write was reported was refused, though the disk had accepted it. */
    @Test
    void theDiskAcceptsWritesOnceARefusedOneIsReported() throws Exception {
        AtomicInteger operations = new AtomicInteger();
        mDisk.setFaultHook(
                operation -> {
                    if (operations.incrementAndGet() == 1) {
                        throw new IOException("no space left on the disk");
                    }
                });
        mThread.write(persist(1));

        assertThat(mPersisted.poll(20, TimeUnit.SECONDS)).isEqualTo(1);
        assertThat(mIsRefusedAsReported.get()).isFalse();
    }

    private static Output.Persist persist(long index) {
        byte[] payload = ("record " + index).getBytes(StandardCharsets.UTF_8);
        return new Output.Persist(
                index,
                Optional.empty(),
                Optional.empty(),
                false,
                OptionalLong.empty(),
                List.of(new LogRecord(index, 1, payload)));
    }
}
