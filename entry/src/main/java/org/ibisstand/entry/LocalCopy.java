package org.ibisstand.entry;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.ibisstand.base.LogLine;
import org.ibisstand.wire.message.Update;

/**
 * Keeps what control last told this entry, so that a restarted entry serves while all of control is
 * unreachable.
 *
 * <p>The copy is a hint: it counts as unconfirmed, and any member of control that answers outranks
 * it. A damaged copy is left aside.
 */
final class LocalCopy {
    private static final String FILE = "entry-state";
    private static final String TEMPORARY_FILE = "entry-state.new";

    private final Path mFolder;

    private LocalCopy(Path folder) {
        mFolder = folder;
    }

    /**
     * Opens a folder, which is created if need be.
     *
     * @param folder where the copy is kept
     * @throws IbisstandException with DATA_FOLDER_UNUSABLE if it cannot be written
     */
    static LocalCopy in(Path folder) {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw unusable(folder, e);
        }
        if (!Files.isWritable(folder)) {
            throw unusable(folder, null);
        }
        return new LocalCopy(folder);
    }

    /** Reads the copy, if there is a whole one. */
    Optional<Update> read() {
        Path file = mFolder.resolve(FILE);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            return parse(ByteBuffer.wrap(Files.readAllBytes(file)));
        } catch (IOException e) {
            LogLine.warning("local_copy_unreadable").with("cause", e.getMessage()).write();
            return Optional.empty();
        }
    }

    /**
     * Replaces the copy; a crash leaves the old or the new one.
     *
     * @param update the whole configuration and registry
     */
    void write(Update update) {
        byte[] content = update.toBuilder().setConfirmed(false).build().toByteArray();
        ByteBuffer bytes = ByteBuffer.allocate(Integer.BYTES + content.length);
        bytes.putInt(checksum(content)).put(content).flip();
        Path temporary = mFolder.resolve(TEMPORARY_FILE);
        try {
            writeSynced(temporary, bytes);
            Files.move(
                    temporary,
                    mFolder.resolve(FILE),
                    StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            // The entry serves on without a copy; only a restart beside a lost control needs it.
            LogLine.warning("local_copy_not_written").with("cause", e.getMessage()).write();
        }
    }

    private static void writeSynced(Path file, ByteBuffer bytes) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
        }
    }

    private static Optional<Update> parse(ByteBuffer bytes) throws InvalidProtocolBufferException {
        if (bytes.remaining() < Integer.BYTES) {
            return Optional.empty();
        }
        int expected = bytes.getInt();
        byte[] content = new byte[bytes.remaining()];
        bytes.get(content);
        if (checksum(content) != expected) {
            LogLine.warning("local_copy_damaged").write();
            return Optional.empty();
        }
        return Optional.of(Update.parseFrom(content));
    }

    private static int checksum(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return (int) checksum.getValue();
    }

    private static IbisstandException unusable(Path folder, IOException cause) {
        return new IbisstandException(
                ErrorCode.DATA_FOLDER_UNUSABLE, "cannot write the folder " + folder, cause);
    }
}
