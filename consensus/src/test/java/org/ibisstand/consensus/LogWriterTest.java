package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.storage.LogRecord;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.MemoryDisk;
import org.ibisstand.storage.OpenedLog;
import org.ibisstand.storage.Recovered;
import org.ibisstand.storage.StoredSnapshot;
import org.ibisstand.storage.TermAndVote;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Writes random outputs while the disk fails at each of its operations, one after the other. */
class LogWriterTest {
    private static final int SEGMENT_BYTES = 200;
    private static final int OUTPUTS = 14;
    private static final int MAXIMUM_ATTEMPTS = 50;

    static LongStream seeds() {
        return LongStream.range(0, 60);
    }

    /** Thrown by the disk as the power fails or the process is killed. */
    private static final class Stopped extends RuntimeException {
        private static final long serialVersionUID = 1;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everythingIsDurableThoughTheDiskRefusesOperations(long seed) {
        List<Output.Persist> outputs = outputs(seed);
        int operations = countOperations(outputs, seed);
        assertThat(operations).isGreaterThan(OUTPUTS);
        for (int first = 0; first < operations; first++) {
            for (int count = 1; count <= 3; count++) {
                MemoryDisk disk = new MemoryDisk();
                refuse(disk, first, count, new IOException("refused"));
                writeAll(disk, outputs, new Random(seed));
                disk.setFaultHook(operation -> {});
                disk.crash(new Random(seed + first));

                assertWithMessage("operations %s to %s refused", first, first + count - 1)
                        .that(Model.of(open(disk).recovered()))
                        .isEqualTo(Model.after(outputs));
            }
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void whatWasReportedAsDurableIsReadAfterAPowerFailureAtAnyOperation(long seed) {
        List<Output.Persist> outputs = outputs(seed);
        int operations = countOperations(outputs, seed);
        for (int last = 0; last < operations; last++) {
            MemoryDisk disk = new MemoryDisk();
            stopAt(disk, last, new Random(seed + last));
            long durable = writeUntilStopped(disk, outputs, new Random(seed));
            disk.setFaultHook(operation -> {});
            disk.crash(new Random(seed + last));

            assertKept(outputs, durable, open(disk).recovered());
        }
    }

    /** Nothing that a killed process wrote may be promised by the next one before its sync. */
    @ParameterizedTest
    @MethodSource("seeds")
    void whatIsReadAfterAKillIsDurableAfterTheFirstSync(long seed) {
        List<Output.Persist> outputs = outputs(seed);
        int operations = countOperations(outputs, seed);
        for (int last = 0; last < operations; last++) {
            MemoryDisk disk = new MemoryDisk();
            stopAt(disk, last, new Random(seed + last));
            long durable = writeUntilStopped(disk, outputs, new Random(seed));
            disk.setFaultHook(operation -> {});
            OpenedLog opened = open(disk);
            assertKept(outputs, durable, opened.recovered());
            new LogWriter(opened.store()).sync();
            disk.crash(new Random(seed + last));

            assertThat(Model.of(open(disk).recovered())).isEqualTo(Model.of(opened.recovered()));
        }
    }

    private static OpenedLog open(MemoryDisk disk) {
        return LogStore.open(disk, SEGMENT_BYTES, new Random(1));
    }

    private static int countOperations(List<Output.Persist> outputs, long seed) {
        int[] operations = {0};
        MemoryDisk disk = new MemoryDisk();
        disk.setFaultHook(operation -> operations[0]++);
        writeAll(disk, outputs, new Random(seed));
        return operations[0];
    }

    private static void refuse(MemoryDisk disk, int first, int count, IOException failure) {
        int[] next = {0};
        disk.setFaultHook(
                operation -> {
                    int number = next[0]++;
                    if (number >= first && number < first + count) {
                        throw failure;
                    }
                });
    }

    /** Lets some operations before the last one fail, and stops at the last one. */
    private static void stopAt(MemoryDisk disk, int last, Random random) {
        int[] next = {0};
        disk.setFaultHook(
                operation -> {
                    if (next[0]++ >= last) {
                        throw new Stopped();
                    }
                    if (random.nextInt(10) == 0) {
                        throw new IOException("refused");
                    }
                });
    }

    private static long writeUntilStopped(
            MemoryDisk disk, List<Output.Persist> outputs, Random random) {
        LogWriter writer = new LogWriter(open(disk).store());
        long[] durable = {0};
        try {
            write(writer, outputs, random, durable);
        } catch (Stopped e) {
            return durable[0];
        }
        return durable[0];
    }

    private static void writeAll(MemoryDisk disk, List<Output.Persist> outputs, Random random) {
        long[] durable = {0};
        write(new LogWriter(open(disk).store()), outputs, random, durable);
        assertThat(durable[0]).isEqualTo(outputs.size());
    }

    /** Adds a few outputs at a time, and tries again after each failure, with or without more. */
    private static void write(
            LogWriter writer, List<Output.Persist> outputs, Random random, long[] durable) {
        int added = 0;
        int attempts = 0;
        while (durable[0] < outputs.size()) {
            int end = Math.min(outputs.size(), added + random.nextInt(4));
            outputs.subList(added, end).forEach(writer::add);
            added = end;
            try {
                writer.write();
                durable[0] = writer.sync();
            } catch (IbisstandException e) {
                if (e.code() == ErrorCode.STORAGE_DAMAGED) {
                    throw e;
                }
            }
            attempts++;
            assertThat(attempts).isLessThan(MAXIMUM_ATTEMPTS * OUTPUTS);
        }
    }

    /**
     * Checks that everything durable is there unless a later output removed it, and that the log is
     * one that the outputs make.
     */
    private static void assertKept(
            List<Output.Persist> outputs, long durable, Recovered recovered) {
        Model actual = Model.of(recovered);
        List<Model> history = new ArrayList<>();
        for (int count = (int) durable; count <= outputs.size(); count++) {
            history.add(Model.after(outputs.subList(0, count)));
        }
        Model confirmed = history.getFirst();
        assertThat(actual.mTerm.term()).isAtLeast(confirmed.mTerm.term());
        assertThat(actual.mSnapshotIndex).isAtLeast(confirmed.mSnapshotIndex);
        for (Map.Entry<Long, Long> record : confirmed.mTerms.entrySet()) {
            boolean isKept =
                    history.stream()
                            .allMatch(
                                    model ->
                                            record.getValue()
                                                    .equals(model.mTerms.get(record.getKey())));
            if (isKept && record.getKey() > actual.mSnapshotIndex) {
                assertThat(actual.mTerms).containsEntry(record.getKey(), record.getValue());
            }
        }
        actual.mTerms.forEach(
                (index, term) ->
                        assertWithMessage(
                                        "record %s of term %s follows its predecessor", index, term)
                                .that(
                                        history.stream()
                                                .anyMatch(
                                                        model ->
                                                                model.holdsPair(
                                                                        actual, index, term)))
                                .isTrue());
    }

    /** Returns random outputs as a member makes them. */
    private static List<Output.Persist> outputs(long seed) {
        Random random = new Random(seed);
        List<Output.Persist> outputs = new ArrayList<>();
        Model model = new Model();
        long term = 1;
        for (int sequence = 1; sequence <= OUTPUTS; sequence++) {
            term += random.nextInt(2);
            Optional<TermAndVote> vote = Optional.empty();
            Optional<StoredSnapshot> snapshot = Optional.empty();
            boolean continues = true;
            OptionalLong truncateFrom = OptionalLong.empty();
            int records = random.nextInt(4);
            switch (random.nextInt(6)) {
                case 0 -> vote = Optional.of(new TermAndVote(term, "member-" + random.nextInt(3)));
                case 1 -> {
                    term++;
                    long uncommitted = model.lastIndex() - model.mSnapshotIndex;
                    if (uncommitted > 0) {
                        truncateFrom =
                                OptionalLong.of(
                                        model.mSnapshotIndex
                                                + 1
                                                + random.nextInt((int) uncommitted));
                    }
                }
                case 2 -> {
                    if (model.lastIndex() > model.mSnapshotIndex) {
                        long index =
                                model.mSnapshotIndex
                                        + 1
                                        + random.nextInt(
                                                (int) (model.lastIndex() - model.mSnapshotIndex));
                        snapshot = Optional.of(snapshot(index, model.mTerms.get(index)));
                    }
                }
                case 3 -> {
                    term++;
                    long index = model.mSnapshotIndex + 1 + random.nextInt(12);
                    snapshot = Optional.of(snapshot(index, term));
                    continues = false;
                }
                default -> records++;
            }
            long next =
                    truncateFrom.orElse(
                            1 + (continues ? model.lastIndex() : snapshot.orElseThrow().index()));
            List<LogRecord> added = new ArrayList<>();
            for (int record = 0; record < records; record++) {
                added.add(new LogRecord(next + record, term, ("record " + next).getBytes()));
            }
            outputs.add(
                    new Output.Persist(sequence, vote, snapshot, continues, truncateFrom, added));
            model.apply(outputs.getLast());
        }
        return outputs;
    }

    private static StoredSnapshot snapshot(long index, long term) {
        return new StoredSnapshot(index, term, new byte[40]);
    }

    /** What a log holds: the term and vote, the snapshot's position, and the terms of records. */
    private static final class Model {
        private final TreeMap<Long, Long> mTerms = new TreeMap<>();
        private TermAndVote mTerm = TermAndVote.NONE;
        private long mSnapshotIndex;
        private long mSnapshotTerm;

        static Model of(Recovered recovered) {
            Model model = new Model();
            model.mTerm = recovered.termAndVote();
            recovered.snapshot().ifPresent(model::setSnapshot);
            recovered.records().forEach(record -> model.mTerms.put(record.index(), record.term()));
            return model;
        }

        static Model after(List<Output.Persist> outputs) {
            Model model = new Model();
            outputs.forEach(model::apply);
            return model;
        }

        void apply(Output.Persist output) {
            output.termAndVote().ifPresent(term -> mTerm = term);
            output.snapshot().ifPresent(this::setSnapshot);
            if (output.replacesLog()) {
                mTerms.clear();
            }
            mTerms.headMap(mSnapshotIndex, true).clear();
            output.truncateFrom().ifPresent(index -> mTerms.tailMap(index, true).clear());
            output.records().forEach(record -> mTerms.put(record.index(), record.term()));
        }

        long lastIndex() {
            return mTerms.isEmpty() ? mSnapshotIndex : mTerms.lastKey();
        }

        /** Returns whether this log held the record after the one before it in another log. */
        boolean holdsPair(Model other, long index, long term) {
            Long previous = other.mTerms.get(index - 1);
            Long ownPrevious = mTerms.get(index - 1);
            return Long.valueOf(term).equals(mTerms.get(index))
                    && (previous == null || ownPrevious == null || previous.equals(ownPrevious));
        }

        private void setSnapshot(StoredSnapshot snapshot) {
            mSnapshotIndex = snapshot.index();
            mSnapshotTerm = snapshot.term();
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Model model && toString().equals(model.toString());
        }

        @Override
        public int hashCode() {
            return toString().hashCode();
        }

        @Override
        public String toString() {
            return mTerm + " snapshot " + mSnapshotIndex + "/" + mSnapshotTerm + " log " + mTerms;
        }
    }
}
