package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An in-memory disk for tests. Simulates a crash that loses all or part of the unsynced changes, a
 * full disk and failing syncs.
 */
public final class MemoryDisk implements Disk {
    private final Map<String, FileContent> mFiles = new TreeMap<>();
    private final Map<String, FileContent> mDurableFiles = new TreeMap<>();
    private volatile long mCapacityBytes = Long.MAX_VALUE;
    private volatile boolean mSyncFails;
    private volatile FaultHook mFaultHook = operation -> {};
    private int mSyncCount;

    /** Creates an empty disk with unlimited capacity. */
    public MemoryDisk() {}

    /**
     * Limits the total size of all files; of a write that exceeds it, only the part that fits is
     * written.
     *
     * @param bytes the capacity in bytes
     */
    public void setCapacity(long bytes) {
        mCapacityBytes = bytes;
    }

    /**
     * Sets whether later syncs fail.
     *
     * @param fails whether syncs throw an exception
     */
    public void setSyncFails(boolean fails) {
        mSyncFails = fails;
    }

    /**
     * Sets what is called before each operation that changes the disk.
     *
     * @param hook throws what the operation is to throw
     */
    public void setFaultHook(FaultHook hook) {
        mFaultHook = hook;
    }

    /** Returns the number of successful file and folder syncs. */
    public int syncCount() {
        return mSyncCount;
    }

    /**
     * Simulates a power failure: each unsynced write independently survives completely, partly or
     * not at all.
     *
     * @param random selects the changes that survive
     */
    public void crash(RandomGenerator random) {
        if (random.nextBoolean()) {
            mFiles.clear();
            mFiles.putAll(mDurableFiles);
        } else {
            mDurableFiles.clear();
            mDurableFiles.putAll(mFiles);
        }
        mFiles.values().forEach(content -> content.crash(random));
    }

    /**
     * Inverts one byte of a file to simulate disk corruption.
     *
     * @param name the file's name
     * @param position the offset of the byte
     */
    public void corruptByte(String name, int position) {
        FileContent content = mFiles.get(name);
        content.mBytes[position] ^= (byte) 0xFF;
        content.mDurableBytes = content.mBytes.clone();
    }

    /**
     * Returns the size of a file in bytes.
     *
     * @param name the file's name
     */
    public int size(String name) {
        return mFiles.get(name).mBytes.length;
    }

    @Override
    public List<String> list() {
        return List.copyOf(mFiles.keySet());
    }

    @Override
    public StorageFile open(String name) throws IOException {
        if (!mFiles.containsKey(name)) {
            mFaultHook.before(Operation.CREATE);
        }
        return new MemoryFile(mFiles.computeIfAbsent(name, unused -> new FileContent()));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        mFaultHook.before(Operation.RENAME);
        FileContent content = mFiles.remove(from);
        if (content == null) {
            throw new IOException("cannot rename missing file " + from);
        }
        mFiles.put(to, content);
    }

    @Override
    public void delete(String name) throws IOException {
        mFaultHook.before(Operation.DELETE);
        mFiles.remove(name);
    }

    @Override
    public void syncFolder() throws SyncFailedException {
        performSync(Operation.SYNC_FOLDER);
        mDurableFiles.clear();
        mDurableFiles.putAll(mFiles);
    }

    @Override
    public void close() {}

    private void performSync(Operation operation) throws SyncFailedException {
        if (mSyncFails) {
            throw new SyncFailedException("simulated sync failure");
        }
        try {
            mFaultHook.before(operation);
        } catch (IOException e) {
            throw new SyncFailedException(e.getMessage());
        }
        mSyncCount++;
    }

    private long freeBytes() {
        long used = mFiles.values().stream().mapToLong(content -> content.mBytes.length).sum();
        return Math.max(0, mCapacityBytes - used);
    }

    /** An operation that changes the disk. */
    public enum Operation {
        /** Create a file. */
        CREATE,
        /** Write to a file. */
        WRITE,
        /** Truncate a file. */
        TRUNCATE,
        /** Sync a file. */
        SYNC,
        /** Rename a file. */
        RENAME,
        /** Delete a file. */
        DELETE,
        /** Sync the folder. */
        SYNC_FOLDER
    }

    /** Decides which operations fail. */
    public interface FaultHook {
        /**
         * Returns if the operation goes on.
         *
         * @param operation what the disk is about to do
         * @throws IOException what the operation is to throw
         */
        void before(Operation operation) throws IOException;
    }

    /** A write that has not been synced. */
    private record UnsyncedWrite(int position, byte[] bytes) {}

    /** The current content of a file and the part that is certain to survive a crash. */
    private static final class FileContent {
        private byte[] mBytes = new byte[0];
        private byte[] mDurableBytes = new byte[0];
        private final List<UnsyncedWrite> mUnsyncedWrites = new ArrayList<>();

        void addWrite(UnsyncedWrite write) {
            mBytes = applyWrite(mBytes, write, write.bytes().length);
            mUnsyncedWrites.add(write);
        }

        void crash(RandomGenerator random) {
            byte[] survived = mDurableBytes;
            for (UnsyncedWrite write : mUnsyncedWrites) {
                int length = survivingBytes(write, random);
                survived = length == 0 ? survived : applyWrite(survived, write, length);
            }
            mUnsyncedWrites.clear();
            mBytes = survived.clone();
            mDurableBytes = survived;
        }

        private static int survivingBytes(UnsyncedWrite write, RandomGenerator random) {
            int length = write.bytes().length;
            return switch (random.nextInt(3)) {
                case 0 -> 0;
                case 1 -> length;
                default -> random.nextInt(length + 1);
            };
        }

        private static byte[] applyWrite(byte[] old, UnsyncedWrite write, int length) {
            int end = write.position() + length;
            byte[] bytes = Arrays.copyOf(old, Math.max(old.length, end));
            System.arraycopy(write.bytes(), 0, bytes, write.position(), length);
            return bytes;
        }
    }

    /** An open file of this disk. */
    private final class MemoryFile implements StorageFile {
        private final FileContent mContent;

        MemoryFile(FileContent content) {
            mContent = content;
        }

        @Override
        public byte[] readAll() {
            return mContent.mBytes.clone();
        }

        @Override
        public void write(long position, byte[] bytes) throws IOException {
            mFaultHook.before(Operation.WRITE);
            long end = Math.min(position + bytes.length, mContent.mBytes.length + freeBytes());
            int length = Math.toIntExact(Math.max(0, end - position));
            if (length > 0) {
                byte[] written = Arrays.copyOf(bytes, length);
                mContent.addWrite(new UnsyncedWrite(Math.toIntExact(position), written));
            }
            if (length < bytes.length) {
                throw new IOException("no space left on the disk");
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            mFaultHook.before(Operation.TRUNCATE);
            mContent.mBytes = Arrays.copyOf(mContent.mBytes, Math.toIntExact(size));
        }

        @Override
        public void sync() throws SyncFailedException {
            performSync(Operation.SYNC);
            mContent.mDurableBytes = mContent.mBytes.clone();
            mContent.mUnsyncedWrites.clear();
        }

        @Override
        public void close() {}
    }
}
