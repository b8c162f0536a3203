package org.ibisstand.storage;

import java.io.IOException;
import java.io.SyncFailedException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;

/** A file system folder, locked so that only one process can use it. */
public final class FolderDisk implements Disk {
    private static final String LOCK_FILE = "lock";

    private final Path mFolder;
    private final FileChannel mLockChannel;
    private final FileLock mLock;

    private FolderDisk(Path folder, FileChannel lockChannel, FileLock lock) {
        mFolder = folder;
        mLockChannel = lockChannel;
        mLock = lock;
    }

    /**
     * Opens and locks a folder, creating it if it does not exist.
     *
     * @param folder the folder that contains all files
     * @throws IbisstandException DATA_FOLDER_UNUSABLE if the folder cannot be written or is locked
     */
    public static FolderDisk open(Path folder) {
        FileChannel channel = openLockFile(folder);
        try {
            FileLock lock = channel.tryLock();
            if (lock != null) {
                return new FolderDisk(folder, channel, lock);
            }
        } catch (IOException | OverlappingFileLockException e) {
            closeQuietly(channel);
            throw unusable(folder, "cannot be locked", e);
        }
        closeQuietly(channel);
        throw unusable(folder, "is in use by another process", null);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(mFolder)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .toList();
        }
    }

    @Override
    public StorageFile open(String name) throws IOException {
        return new ChannelFile(
                FileChannel.open(
                        mFolder.resolve(name),
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.CREATE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                mFolder.resolve(from),
                mFolder.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(mFolder.resolve(name));
    }

    @Override
    public void syncFolder() throws SyncFailedException {
        try (FileChannel folder = FileChannel.open(mFolder, StandardOpenOption.READ)) {
            folder.force(true);
        } catch (IOException e) {
            throw syncFailed(e);
        }
    }

    @Override
    public void close() {
        try {
            mLock.release();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } finally {
            closeQuietly(mLockChannel);
        }
    }

    private static FileChannel openLockFile(Path folder) {
        try {
            Files.createDirectories(folder);
            return FileChannel.open(
                    folder.resolve(LOCK_FILE), StandardOpenOption.WRITE, StandardOpenOption.CREATE);
        } catch (IOException e) {
            throw unusable(folder, "cannot be written", e);
        }
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static SyncFailedException syncFailed(IOException cause) {
        SyncFailedException failure = new SyncFailedException(cause.getMessage());
        failure.initCause(cause);
        return failure;
    }

    private static IbisstandException unusable(Path folder, String reason, Exception cause) {
        return new IbisstandException(
                ErrorCode.DATA_FOLDER_UNUSABLE, "data folder " + folder + " " + reason, cause);
    }

    /** A file accessed through a {@link FileChannel}. */
    private record ChannelFile(FileChannel channel) implements StorageFile {
        @Override
        public byte[] readAll() throws IOException {
            ByteBuffer buffer = ByteBuffer.allocate(Math.toIntExact(channel.size()));
            while (buffer.hasRemaining()) {
                if (channel.read(buffer, buffer.position()) < 0) {
                    throw new IOException("file was truncated while it was being read");
                }
            }
            return buffer.array();
        }

        @Override
        public void write(long position, byte[] bytes) throws IOException {
            ByteBuffer buffer = ByteBuffer.wrap(bytes);
            while (buffer.hasRemaining()) {
                channel.write(buffer, position + buffer.position());
            }
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
        }

        @Override
        public void sync() throws SyncFailedException {
            try {
                channel.force(true);
            } catch (IOException e) {
                throw syncFailed(e);
            }
        }

        @Override
        public void close() {
            closeQuietly(channel);
        }
    }
}
