package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An in-memory disk for tests. Simulates a crash that loses all or part of the unsynced changes, a
 * full disk and failing syncs. As in Linux, a failed sync may lose what was to be written: reads
 * still return it, and a later sync succeeds without it.
 */
public final class MemoryDisk implements Disk {
    private final Map<String, FileContent> mFiles = new TreeMap<>();
    private final Map<String, FileContent> mDurableFiles = new TreeMap<>();
    private volatile long mCapacityBytes = Long.MAX_VALUE;
    private volatile boolean mSyncFails;
    private volatile FaultHook mFaultHook = operation -> {};
    private int mSyncCount;
    private final RandomGenerator mLosses;

    /** Creates an empty disk with unlimited capacity. */
    public MemoryDisk() {
        this(new Random(1));
    }

    /**
     * Creates an empty disk with unlimited capacity.
     *
     * @param losses selects what failed syncs lose
     */
    public MemoryDisk(RandomGenerator losses) {
        mLosses = losses;
    }

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

    /**
     * A change that has not been synced.
     *
     * @param position the offset of the bytes, or the new size of the file
     * @param bytes what was written; empty if the file was truncated
     */
    private record UnsyncedChange(int position, Optional<byte[]> bytes) {
        byte[] applyTo(byte[] old, int length) {
            if (bytes.isEmpty()) {
                return Arrays.copyOf(old, position);
            }
            byte[] changed = Arrays.copyOf(old, Math.max(old.length, position + length));
            System.arraycopy(bytes.get(), 0, changed, position, length);
            return changed;
        }

        int length() {
            return bytes.map(written -> written.length).orElse(0);
        }
    }

    /** The current content of a file and the part that is certain to survive a crash. */
    private static final class FileContent {
        private byte[] mBytes = new byte[0];
        private byte[] mDurableBytes = new byte[0];
        private final List<UnsyncedChange> mUnsynced = new ArrayList<>();

        void add(UnsyncedChange change) {
            mBytes = change.applyTo(mBytes, change.length());
            mUnsynced.add(change);
        }

        void sync() {
            for (UnsyncedChange change : mUnsynced) {
                mDurableBytes = change.applyTo(mDurableBytes, change.length());
            }
            mUnsynced.clear();
        }

        /** Writes a part of the changes. Truncations are kept, as they change no pages. */
        void failSync(RandomGenerator random) {
            applyPart(random);
            mUnsynced.removeIf(change -> change.bytes().isPresent());
        }

        void crash(RandomGenerator random) {
            applyPart(random);
            mUnsynced.clear();
            mBytes = mDurableBytes.clone();
        }

        private void applyPart(RandomGenerator random) {
            for (UnsyncedChange change : mUnsynced) {
                int length = survivingBytes(change, random);
                if (length > 0 || (change.bytes().isEmpty() && random.nextBoolean())) {
                    mDurableBytes = change.applyTo(mDurableBytes, length);
                }
            }
        }

        private static int survivingBytes(UnsyncedChange change, RandomGenerator random) {
            int length = change.length();
            return switch (random.nextInt(3)) {
                case 0 -> 0;
                case 1 -> length;
                default -> random.nextInt(length + 1);
            };
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
                mContent.add(new UnsyncedChange(Math.toIntExact(position), Optional.of(written)));
            }
            if (length < bytes.length) {
                throw new IOException("no space left on the disk");
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            mFaultHook.before(Operation.TRUNCATE);
            mContent.add(new UnsyncedChange(Math.toIntExact(size), Optional.empty()));
        }

        @Override
        public void sync() throws SyncFailedException {
            try {
                performSync(Operation.SYNC);
            } catch (SyncFailedException e) {
                mContent.failSync(mLosses);
                throw e;
            }
            mContent.sync();
        }

        @Override
        public void close() {}
    }
}
