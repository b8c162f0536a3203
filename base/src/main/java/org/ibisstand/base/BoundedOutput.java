package org.ibisstand.base;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Takes log lines without ever blocking: a thread of its own writes them, and lines that it cannot
 * write in time are dropped and counted. Under load ordinary lines are dropped first.
 */
public final class BoundedOutput extends OutputStream {
    private static final long STOP_MILLISECONDS = 500;

    private final OutputStream mTarget;
    private final BlockingQueue<byte[]> mLines;
    private final int mOrdinaryLines;
    private final Predicate<String> mIsOrdinary;
    private final AtomicLong mDropped = new AtomicLong();
    private final ByteArrayOutputStream mPartial = new ByteArrayOutputStream();
    private final Thread mWriter;
    private volatile boolean mClosed;

    private BoundedOutput(OutputStream target, int lines, Predicate<String> isOrdinary) {
        mTarget = target;
        mLines = new ArrayBlockingQueue<>(lines);
        mOrdinaryLines = lines / 2;
        mIsOrdinary = isOrdinary;
        mWriter = new Thread(this::write, "log-writer");
        mWriter.setDaemon(true);
    }

    /**
     * Starts to write to a target.
     *
     * @param target may block; only the writer's thread waits for it
     * @param lines how many lines wait at most
     * @param isOrdinary lines that are dropped once half of the places are taken
     */
    public static BoundedOutput start(
            OutputStream target, int lines, Predicate<String> isOrdinary) {
        BoundedOutput output = new BoundedOutput(target, lines, isOrdinary);
        output.mWriter.start();
        return output;
    }

    /** Returns how many lines were dropped. */
    public long dropped() {
        return mDropped.get();
    }

    @Override
    public synchronized void write(int next) {
        mPartial.write(next);
        if (next == '\n') {
            offer();
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int from, int length) {
        mPartial.write(bytes, from, length);
        if (length > 0 && bytes[from + length - 1] == '\n') {
            offer();
        }
    }

    /** Waits a moment for lines that are not written yet. */
    @Override
    public void close() {
        mClosed = true;
        mWriter.interrupt();
        try {
            mWriter.join(STOP_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void offer() {
        byte[] line = mPartial.toByteArray();
        mPartial.reset();
        boolean isCrowded = mLines.size() >= mOrdinaryLines;
        boolean isDropped = isCrowded && mIsOrdinary.test(new String(line, StandardCharsets.UTF_8));
        if (isDropped || !mLines.offer(line)) {
            mDropped.incrementAndGet();
        }
    }

    private void write() {
        long reported = 0;
        List<byte[]> batch = new ArrayList<>();
        try {
            while (!mClosed || !mLines.isEmpty()) {
                take(batch);
                for (byte[] line : batch) {
                    mTarget.write(line);
                }
                batch.clear();
                long dropped = mDropped.get();
                if (dropped != reported) {
                    mTarget.write(
                            ("level=WARN event=log_lines_dropped lines=" + dropped + "\n")
                                    .getBytes(StandardCharsets.UTF_8));
                    reported = dropped;
                }
                mTarget.flush();
            }
        } catch (IOException e) {
            // Nobody reads the log any more, and there is no other place to say so.
            mClosed = true;
        }
    }

    private void take(List<byte[]> batch) {
        try {
            byte[] first = mLines.poll(1, TimeUnit.SECONDS);
            if (first != null) {
                batch.add(first);
            }
        } catch (InterruptedException e) {
            // Closed: what is left is written and the loop ends.
            mClosed = true;
        }
        mLines.drainTo(batch);
    }
}
