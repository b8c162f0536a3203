package org.ibisstand.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.ibisstand.storage.LogStore;
import org.ibisstand.storage.MemoryDisk;
import org.ibisstand.storage.OpenedLog;

/** One member with its disk, its unsynced writes and its replicated state. */
final class SimulatedMember {
    static final int STATE_BYTES = 200;
    private static final int SEGMENT_BYTES = 600;

    final MemberIdentifier mIdentifier;
    final MemoryDisk mDisk = new MemoryDisk();
    final Deque<Output.Persist> mUnwritten = new ArrayDeque<>();
    final List<Runnable> mWhileFrozen = new ArrayList<>();
    ConsensusMember mCore;
    LogStore mStore;
    boolean mUp;
    boolean mFrozen;
    boolean mDiskBusy;
    int mStarts;
    long mWrittenSequence;
    long mAppliedIndex;
    long mStateHash;

    SimulatedMember(MemberIdentifier identifier) {
        mIdentifier = identifier;
    }

    /** Opens the disk and returns what it held. */
    OpenedLog start() {
        OpenedLog opened = LogStore.open(mDisk, SEGMENT_BYTES, new Random(1));
        mStore = opened.store();
        mUnwritten.clear();
        mWhileFrozen.clear();
        mUp = true;
        mFrozen = false;
        mDiskBusy = false;
        mStarts++;
        mWrittenSequence = 0;
        mAppliedIndex = 0;
        mStateHash = 0;
        return opened;
    }

    void crash(Random random) {
        mUp = false;
        mStarts++;
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
