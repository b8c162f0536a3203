package org.ibisstand.storage;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.Range;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class LogStoreTest {
    private static final int SEGMENT_BYTES = 200;
    private static final String FIRST_SEGMENT = "log-00000000000000000001";

    private final MemoryDisk mDisk = new MemoryDisk();

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 5, 300})
    void recoversRecordsAcrossSegments(int count) {
        OpenedLog opened = open(mDisk);
        opened.store().append(records(1, count, 3));
        opened.store().sync();
        opened.store().saveTermAndVote(new TermAndVote(3, "b"));

        Recovered recovered = open(mDisk).recovered();

        assertThat(recovered.records()).hasSize(count);
        assertThat(text(recovered.records().getLast())).isEqualTo("record " + count);
        assertThat(recovered.termAndVote()).isEqualTo(new TermAndVote(3, "b"));
        assertThat(recovered.identity()).isEqualTo(opened.recovered().identity());
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void crashKeepsSyncedRecordsAndAPrefixOfUnsyncedRecords(long seed) {
        Random random = new Random(seed);
        LogStore store = open(mDisk).store();
        int synced = random.nextInt(20);
        int unsynced = random.nextInt(20);
        store.append(records(1, synced, 1));
        store.sync();
        store.append(records(synced + 1, synced + unsynced, 2));
        mDisk.crash(random);

        List<LogRecord> recovered = open(mDisk).recovered().records();

        assertThat(recovered.size()).isAtLeast(synced);
        assertThat(recovered.size()).isAtMost(synced + unsynced);
        for (int position = 0; position < recovered.size(); position++) {
            assertThat(recovered.get(position).index()).isEqualTo(position + 1);
        }
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void crashNeverRestoresTruncatedRecords(long seed) {
        Random random = new Random(seed);
        LogStore store = open(mDisk).store();
        store.append(records(1, 12, 1));
        store.sync();
        int cut = 1 + random.nextInt(12);
        store.truncateFrom(cut);
        store.append(records(cut, cut + 2, 2));
        mDisk.crash(random);

        List<LogRecord> recovered = open(mDisk).recovered().records();

        assertThat(recovered.size()).isIn(Range.closed(cut - 1, cut + 2));
        for (LogRecord record : recovered) {
            assertThat(record.term()).isEqualTo(record.index() < cut ? 1 : 2);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 40, 90})
    void rejectsCorruptionBeforeSyncedRecord(int position) {
        LogStore store = open(mDisk).store();
        for (int index = 1; index <= 12; index++) {
            store.append(records(index, index, 1));
            store.sync();
        }
        mDisk.corruptByte(FIRST_SEGMENT, position);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, () -> open(mDisk));
    }

    @Test
    void rejectsCorruptRecordThatLaterFrameConfirmsSynced() {
        LogStore store = open(mDisk).store();
        store.append(records(1, 1, 1));
        store.sync();
        store.append(records(2, 2, 1));
        mDisk.corruptByte(FIRST_SEGMENT, 5);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, () -> open(mDisk));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void rejectsCorruptionOfLastSyncedRecord(int count) {
        LogStore store = open(mDisk).store();
        for (int index = 1; index <= count; index++) {
            store.append(records(index, index, 1));
            store.sync();
        }
        int recordBytes = RecordFrame.HEADER_BYTES + "record 1".length();
        mDisk.corruptByte(FIRST_SEGMENT, (count - 1) * recordBytes + 5);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, () -> open(mDisk));
    }

    @ParameterizedTest
    @ValueSource(strings = {"metadata", "snapshot-00000000000000000008"})
    void rejectsCorruptMetadataOrSnapshot(String name) {
        LogStore store = open(mDisk).store();
        store.append(records(1, 8, 1));
        store.saveSnapshot(new StoredSnapshot(8, 1, bytes("state")), true);
        mDisk.corruptByte(name, 9);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, () -> open(mDisk));
    }

    @ParameterizedTest
    @ValueSource(strings = {"metadata", "log-00000000000000000006"})
    void rejectsMissingMetadataOrSegment(String name) throws Exception {
        LogStore store = open(mDisk).store();
        store.append(records(1, 14, 1));
        store.sync();
        mDisk.delete(name);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, () -> open(mDisk));
    }

    static Stream<Consumer<LogStore>> operations() {
        return Stream.of(
                LogStore::sync,
                store -> store.append(records(store.lastIndex() + 1, store.lastIndex() + 1, 1)),
                store -> store.truncateFrom(1),
                store -> store.saveTermAndVote(new TermAndVote(9, "")),
                store -> store.saveSnapshot(new StoredSnapshot(2, 1, bytes("state")), true));
    }

    @ParameterizedTest
    @MethodSource("operations")
    void rejectsAllOperationsAfterFailedSync(Consumer<LogStore> operation) {
        LogStore store = open(mDisk).store();
        store.append(records(1, 2, 1));
        mDisk.setSyncFails(true);
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
        mDisk.setSyncFails(false);

        assertErrorCode(ErrorCode.STORAGE_FAILED, () -> operation.accept(store));
    }

    /** Reads return what a failed sync has lost, and a later sync succeeds without it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void recordsOfAFailedSyncAreWrittenAgainAfterReopening(long seed) {
        LogStore store = open(mDisk).store();
        store.append(records(1, 2, 1));
        store.sync();
        store.append(records(3, 4, 1));
        mDisk.setSyncFails(true);
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
        store.reopen();
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
        mDisk.setSyncFails(false);

        store.reopen();
        store.append(records(3, 5, 1));
        store.sync();
        mDisk.crash(new Random(seed));

        assertThat(open(mDisk).recovered().records()).hasSize(5);
    }

    /** A process that is killed may leave records that were never synced; they can be read. */
    @ParameterizedTest
    @MethodSource("seeds")
    void recordsThatWereReadAreDurableAfterTheFirstSync(long seed) {
        LogStore killed = open(mDisk).store();
        killed.append(records(1, 12, 1));
        OpenedLog opened = open(mDisk);
        assertThat(opened.recovered().records()).hasSize(12);

        opened.store().sync();
        mDisk.crash(new Random(seed));

        assertThat(open(mDisk).recovered().records()).hasSize(12);
    }

    @Test
    void aFullDiskCanBeOpened() {
        LogStore store = open(mDisk).store();
        store.append(records(1, 3, 1));
        mDisk.setCapacity(0);

        OpenedLog opened = open(mDisk);
        assertThat(opened.recovered().records()).hasSize(3);
        assertErrorCode(ErrorCode.STORAGE_REFUSED, () -> opened.store().sync());
        mDisk.setCapacity(Long.MAX_VALUE);
        opened.store().sync();
    }

    @Test
    void reopeningFailsIfASyncedRecordIsGone() throws Exception {
        LogStore store = open(mDisk).store();
        store.append(records(1, 3, 1));
        store.sync();
        mDisk.setSyncFails(true);
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
        mDisk.setSyncFails(false);
        mDisk.delete(FIRST_SEGMENT);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, store::reopen);
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
    }

    /** The member counts what it has read, and nothing writes that again. */
    @Test
    void reopeningFailsIfARecordThatWasReadAtTheStartIsGone() throws Exception {
        open(mDisk).store().append(records(1, 12, 1));
        LogStore store = open(mDisk).store();
        mDisk.setSyncFails(true);
        assertErrorCode(ErrorCode.STORAGE_FAILED, store::sync);
        mDisk.setSyncFails(false);
        mDisk.delete(FIRST_SEGMENT);

        assertErrorCode(ErrorCode.STORAGE_DAMAGED, store::reopen);
    }

    @Test
    void fullDiskFailsAppendAndKeepsSyncedRecords() {
        LogStore store = open(mDisk).store();
        store.append(records(1, 3, 1));
        store.sync();
        mDisk.setCapacity(250);

        assertErrorCode(ErrorCode.STORAGE_REFUSED, () -> store.append(records(4, 9, 1)));
        mDisk.setCapacity(Long.MAX_VALUE);
        assertThat(open(mDisk).recovered().records().size()).isAtLeast(3);
    }

    static Stream<Consumer<LogStore>> writes() {
        return Stream.of(
                store -> store.append(records(13, 24, 2)),
                store -> {
                    store.truncateFrom(5);
                    store.append(records(5, 16, 2));
                },
                store -> store.saveTermAndVote(new TermAndVote(9, "another member")),
                store -> store.saveSnapshot(new StoredSnapshot(9, 1, new byte[90]), true),
                store -> {
                    store.saveSnapshot(new StoredSnapshot(40, 2, new byte[90]), false);
                    store.append(records(41, 52, 2));
                });
    }

    /** A full disk must not cost the member its log: the same writes succeed once there is room. */
    @ParameterizedTest
    @MethodSource("writes")
    void repeatsARefusedWriteUntilThereIsRoom(Consumer<LogStore> write) {
        MemoryDisk roomyDisk = new MemoryDisk();
        LogStore expected = open(roomyDisk).store();
        LogStore store = open(mDisk).store();
        for (LogStore each : List.of(expected, store)) {
            each.append(records(1, 12, 1));
            each.sync();
        }
        write.accept(expected);
        expected.sync();

        repeatWithMoreRoom(store, write);
        repeatWithMoreRoom(store, LogStore::sync);
        mDisk.setCapacity(Long.MAX_VALUE);

        assertSameContent(open(mDisk).recovered(), open(roomyDisk).recovered());
    }

    private void repeatWithMoreRoom(LogStore store, Consumer<LogStore> write) {
        long capacity = 0;
        do {
            mDisk.setCapacity(capacity);
            capacity += 7;
        } while (!attempt(store, write));
    }

    private static boolean attempt(LogStore store, Consumer<LogStore> write) {
        try {
            write.accept(store);
            return true;
        } catch (IbisstandException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.STORAGE_REFUSED);
            return false;
        }
    }

    private static void assertSameContent(Recovered actual, Recovered expected) {
        assertThat(actual.termAndVote()).isEqualTo(expected.termAndVote());
        assertThat(actual.snapshot().map(StoredSnapshot::index))
                .isEqualTo(expected.snapshot().map(StoredSnapshot::index));
        assertThat(actual.records().stream().map(LogStoreTest::describe).toList())
                .isEqualTo(expected.records().stream().map(LogStoreTest::describe).toList());
    }

    private static String describe(LogRecord record) {
        return record.index() + " of term " + record.term();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void snapshotReplacesCoveredRecordsAcrossCrash(long seed) {
        Random random = new Random(seed);
        LogStore store = open(mDisk).store();
        store.append(records(1, 30, 1));
        store.sync();
        int index = 1 + random.nextInt(40);
        boolean logMatchesSnapshot = index <= 30 && random.nextBoolean();
        long term = logMatchesSnapshot ? 1 : 2;
        store.saveSnapshot(new StoredSnapshot(index, term, bytes("state")), logMatchesSnapshot);
        mDisk.crash(random);

        Recovered recovered = open(mDisk).recovered();

        assertThat(recovered.snapshot().orElseThrow().index()).isEqualTo(index);
        assertThat(recovered.records()).hasSize(logMatchesSnapshot ? 30 - index : 0);
    }

    @Test
    void syncsManyRecordsOnce() {
        LogStore store = LogStore.open(mDisk, 1 << 20, new Random(1)).store();
        store.sync();
        int syncCountBefore = mDisk.syncCount();
        store.append(records(1, 500, 1));
        store.sync();

        assertThat(mDisk.syncCount() - syncCountBefore).isEqualTo(1);
    }

    @Test
    void rejectsFolderThatIsAlreadyLocked(@TempDir Path folder) {
        try (FolderDisk first = FolderDisk.open(folder)) {
            assertErrorCode(ErrorCode.DATA_FOLDER_UNUSABLE, () -> FolderDisk.open(folder));
        }
    }

    @Test
    void rejectsFolderThatCannotBeCreated(@TempDir Path folder) throws Exception {
        Path file = Files.createFile(folder.resolve("file"));
        assertErrorCode(
                ErrorCode.DATA_FOLDER_UNUSABLE, () -> FolderDisk.open(file.resolve("data")));
    }

    @Test
    void recoversRecordsFromFileSystem(@TempDir Path folder) {
        try (LogStore store = open(FolderDisk.open(folder)).store()) {
            store.append(records(1, 300, 1));
            store.saveSnapshot(new StoredSnapshot(250, 1, bytes("state")), true);
            store.truncateFrom(290);
        }
        OpenedLog opened = open(FolderDisk.open(folder));
        opened.store().close();
        assertThat(opened.recovered().records()).hasSize(39);
        assertThat(opened.recovered().records().getFirst().index()).isEqualTo(251);
    }

    static LongStream seeds() {
        return LongStream.range(0, 300);
    }

    private static OpenedLog open(Disk disk) {
        return LogStore.open(disk, SEGMENT_BYTES, new Random(1));
    }

    private static List<LogRecord> records(long first, long last, long term) {
        List<LogRecord> records = new ArrayList<>();
        for (long index = first; index <= last; index++) {
            records.add(new LogRecord(index, term, bytes("record " + index)));
        }
        return records;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(LogRecord record) {
        return new String(record.payload(), StandardCharsets.UTF_8);
    }

    private static void assertErrorCode(ErrorCode code, Runnable action) {
        IbisstandException thrown = assertThrows(IbisstandException.class, action::run);
        assertThat(thrown.code()).isEqualTo(code);
    }
}
