package org.ibisstand.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.MemoryDisk;
import org.ibisstand.storage.OpenedLog;

/** Simulates one member with its disk, its pending writes and its replicated state. */
final class SimulatedMember {
    static final int STATE_BYTES = 200;
    private static final int SEGMENT_BYTES = 600;

    final MemberIdentifier mIdentifier;
    final MemoryDisk mDisk = new MemoryDisk();
    final List<Runnable> mDeferredActions = new ArrayList<>();
    ConsensusMember mConsensus;
    LogWriter mWriter;
    boolean mIsDurable;
    boolean mRunning;
    boolean mFrozen;
    boolean mDiskBusy;
    int mIncarnation;
    long mAppliedIndex;
    long mStateHash;

    SimulatedMember(MemberIdentifier identifier) {
        mIdentifier = identifier;
    }

    /** Starts a new incarnation and returns the log recovered from the disk. */
    OpenedLog start() {
        OpenedLog opened = LogStore.open(mDisk, SEGMENT_BYTES, new Random(1));
        mWriter = new LogWriter(opened.store());
        mIsDurable = false;
        mDeferredActions.clear();
        mRunning = true;
        mFrozen = false;
        mDiskBusy = false;
        mIncarnation++;
        mAppliedIndex = 0;
        mStateHash = 0;
        return opened;
    }

    /** Ends the process; what it wrote stays readable, also without a sync. */
    void kill() {
        mRunning = false;
        mIncarnation++;
    }

    /** Cuts the power, which loses writes without a sync wholly or in part. */
    void crash(Random random) {
        kill();
        mDisk.crash(random);
    }

    void apply(Entry entry) {
        mAppliedIndex = entry.index();
        if (entry.content() instanceof EntryContent.Command command) {
            mStateHash = mStateHash * 31 + ByteBuffer.wrap(command.data()).getLong();
        }
    }

    void restore(Snapshot snapshot) {
        mAppliedIndex = snapshot.index();
        mStateHash = ByteBuffer.wrap(snapshot.state()).getLong();
    }

    byte[] state() {
        return ByteBuffer.allocate(STATE_BYTES).putLong(mStateHash).array();
    }
}
