package org.ibisstand.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.ibisstand.base.ErrorCode;
import org.ibisstand.base.IbisstandException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsWatchTest {
    @TempDir private Path mFolder;
    private final List<String> mTaken = new ArrayList<>();
    private Path mFile;
    private SettingsWatch mWatch;

    @BeforeEach
    void write() throws IOException {
        mFile = mFolder.resolve("settings");
        Files.writeString(mFile, "first");
        mWatch = SettingsWatch.create(mFile, Files.readAllBytes(mFile), this::take);
    }

    @AfterEach
    void close() {
        mWatch.close();
    }

    @Test
    void tellsOfAChangeOnce() throws IOException {
        mWatch.look();
        assertThat(mTaken).isEmpty();

        Files.writeString(mFile, "second");
        mWatch.look();
        mWatch.look();

        assertThat(mTaken).containsExactly("second");
    }

    @Test
    void aFileThatIsWrongOrGoneChangesNothing() throws IOException {
        Files.writeString(mFile, "wrong");
        mWatch.look();
        Files.delete(mFile);
        mWatch.look();

        assertThat(mTaken).isEmpty();
    }

    @Test
    void aMendedFileIsTakenAfterAWrongOne() throws IOException {
        Files.writeString(mFile, "wrong");
        mWatch.look();
        Files.writeString(mFile, "first again");
        mWatch.look();

        assertThat(mTaken).containsExactly("first again");
    }

    private void take(byte[] content) {
        String text = new String(content, StandardCharsets.UTF_8);
        if (text.equals("wrong")) {
            throw new IbisstandException(ErrorCode.SETTINGS_INVALID, "wrong on purpose");
        }
        mTaken.add(text);
    }
}
