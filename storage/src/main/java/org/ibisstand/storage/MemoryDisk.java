package org.ibisstand.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * A disk in memory that loses unsynced changes at a crash, wholly or in part. It also fills up and
 * fails syncs on request.
 */
public final class MemoryDisk implements Disk {
    private final Map<String, Content> mFiles = new TreeMap<>();
    private final Map<String, Content> mDurableFiles = new TreeMap<>();
    private long mCapacityBytes = Long.MAX_VALUE;
    private boolean mSyncFails;
    private int mSyncs;

    /** Creates an empty disk without a limit. */
    public MemoryDisk() {}

    /**
     * Limits the sum of all files; a write beyond it fails.
     *
     * @param bytes the most that the disk holds
     */
    public void setCapacity(long bytes) {
        mCapacityBytes = bytes;
    }

    /**
     * Makes each later sync fail or succeed.
     *
     * @param fails whether a sync throws
     */
    public void setSyncFails(boolean fails) {
        mSyncFails = fails;
    }

    /** Returns how many syncs of files and of the folder succeeded. */
    public int syncs() {
        return mSyncs;
    }

    /**
     * Loses power: each unsynced write may survive wholly, in part or not at all, in any order.
     *
     * @param random decides what survives
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
     * Inverts one byte of a file, as a damaged disk would.
     *
     * @param name the file's name
     * @param position the offset of the byte
     */
    public void damage(String name, int position) {
        Content content = mFiles.get(name);
        content.mBytes[position] ^= (byte) 0xFF;
        content.mDurable = content.mBytes.clone();
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
    public StorageFile open(String name) {
        return new MemoryFile(mFiles.computeIfAbsent(name, unused -> new Content()));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Content content = mFiles.remove(from);
        if (content == null) {
            throw new IOException("no file " + from);
        }
        mFiles.put(to, content);
    }

    @Override
    public void delete(String name) {
        mFiles.remove(name);
    }

    @Override
    public void syncFolder() throws IOException {
        checkSync();
        mDurableFiles.clear();
        mDurableFiles.putAll(mFiles);
    }

    @Override
    public void close() {}

    private void checkSync() throws IOException {
        if (mSyncFails) {
            throw new IOException("the disk failed to sync");
        }
        mSyncs++;
    }

    private void checkSpace(long growth) throws IOException {
        long used = mFiles.values().stream().mapToLong(content -> content.mBytes.length).sum();
        if (used + growth > mCapacityBytes) {
            throw new IOException("no space left on the disk");
        }
    }

    /** One write that no sync has covered. */
    private record UnsyncedWrite(int position, byte[] bytes) {}

    /** What one file holds now, and what of it would survive a crash for certain. */
    private static final class Content {
        private byte[] mBytes = new byte[0];
        private byte[] mDurable = new byte[0];
        private final List<UnsyncedWrite> mUnsynced = new ArrayList<>();

        void put(UnsyncedWrite write) {
            mBytes = applied(mBytes, write, write.bytes().length);
            mUnsynced.add(write);
        }

        void crash(RandomGenerator random) {
            byte[] survived = mDurable;
            for (UnsyncedWrite write : mUnsynced) {
                int length = survivingBytes(write, random);
                survived = length == 0 ? survived : applied(survived, write, length);
            }
            mUnsynced.clear();
            mBytes = survived.clone();
            mDurable = survived;
        }

        private static int survivingBytes(UnsyncedWrite write, RandomGenerator random) {
            int length = write.bytes().length;
            return switch (random.nextInt(3)) {
                case 0 -> 0;
                case 1 -> length;
                default -> random.nextInt(length + 1);
            };
        }

        private static byte[] applied(byte[] old, UnsyncedWrite write, int length) {
            int end = write.position() + length;
            byte[] bytes = Arrays.copyOf(old, Math.max(old.length, end));
            System.arraycopy(write.bytes(), 0, bytes, write.position(), length);
            return bytes;
        }
    }

    /** An open file of this disk. */
    private final class MemoryFile implements StorageFile {
        private final Content mContent;

        MemoryFile(Content content) {
            mContent = content;
        }

        @Override
        public byte[] readAll() {
            return mContent.mBytes.clone();
        }

        @Override
        public void write(long position, byte[] bytes) throws IOException {
            long growth = position + bytes.length - mContent.mBytes.length;
            checkSpace(Math.max(0, growth));
            mContent.put(new UnsyncedWrite(Math.toIntExact(position), bytes.clone()));
        }

        @Override
        public void truncate(long size) {
            mContent.mBytes = Arrays.copyOf(mContent.mBytes, Math.toIntExact(size));
        }

        @Override
        public void sync() throws IOException {
            checkSync();
            mContent.mDurable = mContent.mBytes.clone();
            mContent.mUnsynced.clear();
        }

        @Override
        public void close() {}
    }
}
