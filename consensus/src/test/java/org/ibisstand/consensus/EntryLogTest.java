package org.ibisstand.consensus;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against members that run out of memory, as they keep entries without regard to size. */
class EntryLogTest {
    private static final int ENTRIES = 100;
    private static final byte[] STATE = new byte[0];

    private final EntryLog mLog = new EntryLog();

    @ParameterizedTest
    @CsvSource({
        // bytes of a command, retained entries, retained bytes, entries that may be kept
        "1000, 50, 100000, 50",
        "1000, 50, 10000, 10",
        "1000, 50, 999, 0",
        "0, 50, 0, 50",
        "1000, 0, 100000, 0",
    })
    void entriesBehindASnapshotAreBoundedByNumberAndSize(
            int commandBytes, int retainedEntries, int retainedBytes, int kept) {
        append(commandBytes);

        mLog.compact(ENTRIES, STATE, limits(retainedEntries, retainedBytes), OptionalLong.empty());

        assertThat(availableEntries()).isEqualTo(kept);
    }

    @Test
    void repeatedSnapshotsNeverKeepMoreThanTheLimit() {
        Limits limits = limits(ENTRIES, 5_000);
        for (int round = 0; round < 20; round++) {
            append(1_000);
            mLog.compact(mLog.lastIndex(), STATE, limits, OptionalLong.empty());

            assertThat(availableEntries()).isEqualTo(5);
        }
    }

    @ParameterizedTest
    @CsvSource({
        // index of the snapshot in transfer, entries that may be kept
        "95, 5",
        "92, 8",
        "91, 2",
        "10, 2",
        "99, 2"
    })
    void entriesAfterASnapshotInTransferAreKeptUpToTheUnacknowledgedBytes(long index, int kept) {
        append(1_000);
        Limits limits = new Limits(1, 1, 1, 8_000, 1, ENTRIES, 2_000);

        mLog.compact(ENTRIES, STATE, limits, OptionalLong.of(index));

        assertThat(availableEntries()).isEqualTo(kept);
    }

    @Test
    void sizesStayRightAfterATruncationAndASnapshotOfAnotherMember() {
        append(1_000);
        mLog.truncateFrom(51);
        assertThat(mLog.bytesBetween(0, 50)).isEqualTo(50_000);

        mLog.install(new Snapshot(200, 1, Membership.EMPTY, STATE));
        append(10);

        assertThat(mLog.bytesBetween(200, 300)).isEqualTo(1_000);
        assertThat(mLog.bytesBetween(290, 300)).isEqualTo(100);
    }

    private void append(int commandBytes) {
        EntryContent content = new EntryContent.Command(new byte[commandBytes]);
        long first = mLog.lastIndex() + 1;
        List<Entry> entries =
                LongStream.range(first, first + ENTRIES)
                        .mapToObj(index -> new Entry(index, 1, content))
                        .toList();
        mLog.appendAll(entries);
    }

    private long availableEntries() {
        return LongStream.rangeClosed(1, mLog.lastIndex())
                .filter(index -> mLog.termAt(index - 1).isPresent())
                .count();
    }

    private static Limits limits(int retainedEntries, int retainedBytes) {
        return new Limits(1, 1, 1, 1, 1, retainedEntries, retainedBytes);
    }
}
